#ifndef MASTICSHIFT_GATEWAY_ENDPOINT_WATCH_HPP
#define MASTICSHIFT_GATEWAY_ENDPOINT_WATCH_HPP

#include "store_client.hpp"

#include <functional>
#include <set>

namespace masticshift::gateway
{

/// Keeps the registry of endpoints up to date: with short intervals while this
/// entry dispatches, with long ones while it may have to take over a cell.
class endpoint_watch
{
public:
    endpoint_watch(gateway_state& state, store_client& store,
                   std::function<bool()> is_dispatching)
        : state_(state),
          store_(store),
          is_dispatching_(std::move(is_dispatching))
    {
    }

    asio::awaitable<void> run();

    /// Makes `run` read the store at once, as this entry has taken over a cell.
    void read_now();

private:
    /// Whether the last successful read is too long ago to read changes only.
    bool is_behind(time_point now) const;
    /// Time until the next read.
    milliseconds interval_after(bool read, bool dispatching) const;
    asio::awaitable<bool> read_all();
    asio::awaitable<bool> read_changes();
    void apply_row(platform::store_row const& row, time_point now);
    std::optional<dispatch::versioned_record>
    decode(platform::store_row const& row);

    gateway_state& state_;
    store_client& store_;
    std::function<bool()> is_dispatching_;
    /// Store version up to which changes have been read.
    std::int64_t seen_version_ = 0;
    /// Whether the next read has to be of the whole table.
    bool full_read_needed_ = true;
    /// Keys of malformed rows, each of which is logged once.
    std::set<std::string> malformed_;
    std::optional<asio::steady_timer> pause_;
    bool read_requested_ = false;
};

} // namespace masticshift::gateway

#endif
