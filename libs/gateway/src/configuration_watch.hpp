#ifndef MASTICSHIFT_GATEWAY_CONFIGURATION_WATCH_HPP
#define MASTICSHIFT_GATEWAY_CONFIGURATION_WATCH_HPP

#include "store_client.hpp"

#include <set>

namespace masticshift::gateway
{

/// Keeps the configuration and the list of evacuated data centres up to date
/// with the store and with peers.
class configuration_watch
{
public:
    configuration_watch(gateway_state& state, store_client& store,
                        peer_link::peer_client& peers)
        : state_(state), store_(store), peers_(peers)
    {
    }

    /// Applies each version that the store holds.
    asio::awaitable<void> follow_store();

    /// Reads the evacuated data centres at once while starts wait for that. A
    /// call of `follow_store` may have been made before a pause of the process,
    /// and get no response for seconds.
    asio::awaitable<void> confirm_evacuations();

    /// Fetches newer versions from the peers whose heartbeats report them;
    /// evacuations only while reads of the store fail.
    asio::awaitable<void> follow_peers();

private:
    asio::awaitable<bool> read_all();
    /// Applies a version of the configuration among the rows, and returns those
    /// that evacuate a data centre.
    std::vector<dispatch::evacuation_row>
    apply_rows(std::vector<platform::store_row> const& rows);
    /// Makes a read of the evacuated data centres, by a call made at `begun`,
    /// known to dispatchers and peers.
    void
    record_evacuations(std::vector<dispatch::evacuation_change> const& changes,
                       std::string_view source, time_point begun);
    /// Fetches the evacuated data centres from a peer that knows newer ones.
    asio::awaitable<void> fetch_evacuations();
    void apply(std::string const& text, std::string_view source);

    gateway_state& state_;
    store_client& store_;
    peer_link::peer_client& peers_;
    /// Store version up to which changes have been read.
    std::int64_t seen_version_ = 0;
    /// Malformed keys of evacuations, each of which is logged once.
    std::set<std::string> malformed_;
};

} // namespace masticshift::gateway

#endif
