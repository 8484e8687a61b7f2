#include "endpoint_watch.hpp"

#include <core/log.hpp>
#include <platform/endpoint_codec.hpp>

namespace masticshift::gateway
{

namespace
{

/// The store responds in 4 ms, or in up to 60 times as long when it is slow.
constexpr milliseconds read_timeout{500};

/// Interval while this entry dispatches. An endpoint that drains must get no
/// new work later than two seconds after it has reported so. The cost of a read
/// grows with the changes in it, and every endpoint writes its row every 1.5 s.
constexpr milliseconds dispatching_interval{400};

/// Interval while this entry dispatches no cell. It then needs only the number
/// of endpoints, and an entry that takes over a cell reads the table at once.
constexpr milliseconds idle_interval{15'000};

/// The store returns changes in order and at most 500 at once, and each
/// endpoint writes its row every 1.5 s. After a longer gap than this a read of
/// the whole table is sooner up to date than the changes are.
constexpr milliseconds longest_gap{1'000};

/// Interval while no endpoint of the data centre is known: its cells can't be
/// claimed before.
constexpr milliseconds waiting_interval{500};

} // namespace

std::optional<dispatch::versioned_record>
endpoint_watch::decode(platform::store_row const& row)
{
    auto record = platform::decode_endpoint(row.key, row.value);
    if (record)
    {
        malformed_.erase(row.key);
        return dispatch::versioned_record{std::move(*record), row.version};
    }
    if (malformed_.insert(row.key).second)
        log_event(log_level::warning, "endpoint_skipped",
                  {{"endpoint", row.key},
                   {"code", static_cast<int>(record.error().code)},
                   {"detail", record.error().detail}});
    return std::nullopt;
}

void endpoint_watch::apply_row(platform::store_row const& row, time_point now)
{
    if (!row.removed)
    {
        if (auto entry = decode(row))
        {
            state_.registry.put(std::move(*entry));
            return;
        }
    }
    state_.registry.drop(row.key, row.version, now);
}

asio::awaitable<bool> endpoint_watch::read_all()
{
    std::vector<dispatch::versioned_record> entries;
    std::string from;
    std::int64_t version = 0;
    bool more = true;
    while (more)
    {
        bool history_gone = false;
        auto request = platform::encode_read(platform::endpoint_table, from);
        auto const rows = co_await store_.read(std::move(request), read_timeout,
                                               history_gone);
        if (!rows)
            co_return false;
        version = version == 0 ? rows->version : version;
        more = rows->has_more && !rows->rows.empty();
        for (auto const& row : rows->rows)
        {
            if (auto entry = decode(row))
                entries.push_back(std::move(*entry));
        }
        // A key and a zero byte is the next key in byte order.
        if (more)
            from = rows->rows.back().key + '\0';
    }
    state_.registry.replace(std::move(entries), version, steady_clock::now());
    seen_version_ = version;
    co_return true;
}

asio::awaitable<bool> endpoint_watch::read_changes()
{
    bool more = true;
    while (more)
    {
        bool history_gone = false;
        auto request = platform::encode_watch(platform::endpoint_table,
                                              seen_version_, milliseconds(0));
        auto const rows = co_await store_.read(std::move(request), read_timeout,
                                               history_gone);
        if (history_gone)
            full_read_needed_ = true;
        if (!rows)
            co_return history_gone;
        auto const now = steady_clock::now();
        for (auto const& row : rows->rows)
            apply_row(row, now);
        more = rows->has_more && rows->version > seen_version_;
        seen_version_ = std::max(seen_version_, rows->version);
    }
    co_return true;
}

bool endpoint_watch::is_behind(time_point now) const
{
    auto const last = state_.registry.last_read();
    return !last || now - *last > longest_gap;
}

milliseconds endpoint_watch::interval_after(bool read, bool dispatching) const
{
    if (dispatching || !read)
        return dispatching_interval;
    auto const& data_centre = state_.settings.gateway.data_centre;
    return state_.registry.has_endpoints_in(data_centre) ? idle_interval
                                                         : waiting_interval;
}

asio::awaitable<void> endpoint_watch::run()
{
    pause_.emplace(co_await asio::this_coro::executor);
    for (;;)
    {
        bool const dispatching = is_dispatching_();
        bool read = false;
        auto const begun = steady_clock::now();
        if (full_read_needed_ || !dispatching || is_behind(begun))
        {
            read = co_await read_all();
            full_read_needed_ = !read;
        }
        else
        {
            read = co_await read_changes();
        }
        state_.registry.record_read(read, begun, steady_clock::now());
        auto const interval = interval_after(read, dispatching);
        if (!std::exchange(read_requested_, false))
        {
            pause_->expires_after(interval);
            co_await pause_->async_wait(as_values);
            read_requested_ = false;
        }
    }
}

void endpoint_watch::read_now()
{
    read_requested_ = true;
    if (pause_)
        pause_->cancel();
}

} // namespace masticshift::gateway
