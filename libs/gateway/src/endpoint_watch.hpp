#ifndef MASTICSHIFT_GATEWAY_ENDPOINT_WATCH_HPP
#define MASTICSHIFT_GATEWAY_ENDPOINT_WATCH_HPP

#include "store_client.hpp"

#include <functional>
#include <set>

namespace masticshift::gateway
{

/// Keeps the registry of endpoints up to date: closely while this entry
/// dispatches, loosely while it may have to follow the dispatcher.
class endpoint_watch
{
public:
    endpoint_watch(gateway_state& state, store_client& store,
                   std::function<bool()> dispatching)
        : state_(state), store_(store), dispatching_(std::move(dispatching))
    {
    }

    asio::awaitable<void> run();

private:
    asio::awaitable<bool> read_whole();
    asio::awaitable<bool> read_changes();
    void take_row(platform::store_row const& row, time_point now);
    std::optional<dispatch::versioned_record>
    decode(platform::store_row const& row);

    gateway_state& state_;
    store_client& store_;
    std::function<bool()> dispatching_;
    std::int64_t seen_ = 0;
    bool whole_ = true;
    /// Rows that were logged as malformed.
    std::set<std::string> malformed_;
};

} // namespace masticshift::gateway

#endif
