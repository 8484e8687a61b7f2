#ifndef MASTICSHIFT_GATEWAY_CONFIGURATION_WATCH_HPP
#define MASTICSHIFT_GATEWAY_CONFIGURATION_WATCH_HPP

#include "store_client.hpp"

namespace masticshift::gateway
{

/// Keeps the configuration up to date, from the store and from peers.
class configuration_watch
{
public:
    configuration_watch(gateway_state& state, store_client& store,
                        peer_link::peer_client& peers)
        : state_(state), store_(store), peers_(peers)
    {
    }

    /// Follows the store.
    asio::awaitable<void> follow_store();

    /// Fetches versions that peers have told of.
    asio::awaitable<void> follow_peers();

private:
    asio::awaitable<bool> read_whole();
    void take_rows(platform::store_rows const& rows);
    void apply(std::string const& text, std::string_view source);

    gateway_state& state_;
    store_client& store_;
    peer_link::peer_client& peers_;
    /// Version of the store up to which changes are known.
    std::int64_t seen_ = 0;
};

} // namespace masticshift::gateway

#endif
