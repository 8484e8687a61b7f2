#include "configuration_watch.hpp"

#include <core/log.hpp>
#include <platform/configuration_codec.hpp>

namespace masticshift::gateway
{

namespace
{

/// A watch call waits this long for a change. A broken connection is detected
/// only when the call times out, and a configuration has to be in force within
/// two seconds.
constexpr milliseconds watch_wait{900};
constexpr milliseconds watch_timeout{1'200};

/// The store responds in 4 ms, or in up to 60 times as long when it is slow.
constexpr milliseconds read_timeout{400};

/// Pause after a failed call, which limits the calls during an outage.
constexpr milliseconds retry_pause{250};

/// How often to check whether a peer has a newer version.
constexpr milliseconds peer_interval{100};
constexpr milliseconds fetch_timeout{500};

} // namespace

void configuration_watch::apply(std::string const& text,
                                std::string_view source)
{
    auto const decoded = platform::decode_configuration(text);
    if (!decoded)
    {
        log_event(log_level::error, "configuration_malformed",
                  {{"source", source},
                   {"code", static_cast<int>(decoded.error().code)},
                   {"detail", decoded.error().detail}});
        return;
    }
    if (decoded->version <= state_.configuration_version)
        return;
    state_.configuration_version = decoded->version;
    state_.configuration_text = text;
    state_.queues = dispatch::queue_index(*decoded);
    state_.roster.set_configuration_version(decoded->version);
    log_event(log_level::info, "configuration_applied",
              {{"version", decoded->version},
               {"source", source},
               {"queues", decoded->queues.size()}});
}

void configuration_watch::apply_rows(platform::store_rows const& rows)
{
    for (auto const& row : rows.rows)
    {
        if (row.key == platform::configuration_key && !row.removed)
            apply(row.value, "store");
    }
}

asio::awaitable<bool> configuration_watch::read_all()
{
    bool history_gone = false;
    auto request = platform::encode_read(platform::configuration_table,
                                         platform::configuration_key);
    auto const rows =
        co_await store_.read(std::move(request), read_timeout, history_gone);
    if (!rows)
        co_return false;
    apply_rows(*rows);
    seen_version_ = rows->version;
    co_return true;
}

asio::awaitable<void> configuration_watch::follow_store()
{
    bool full_read = true;
    for (;;)
    {
        if (full_read)
        {
            full_read = !co_await read_all();
            if (full_read)
                co_await pause(retry_pause);
            continue;
        }
        bool history_gone = false;
        auto const wait = store_.reachable() ? watch_wait : milliseconds(0);
        auto const timeout = store_.reachable() ? watch_timeout : read_timeout;
        auto request = platform::encode_watch(platform::configuration_table,
                                              seen_version_, wait);
        auto const rows =
            co_await store_.read(std::move(request), timeout, history_gone);
        if (rows)
        {
            apply_rows(*rows);
            seen_version_ = std::max(seen_version_, rows->version);
        }
        full_read = history_gone;
        if (!rows || !store_.reachable())
            co_await pause(retry_pause);
    }
}

asio::awaitable<void> configuration_watch::follow_peers()
{
    for (;;)
    {
        co_await pause(peer_interval);
        auto const now = steady_clock::now();
        auto const newest = state_.roster.newest_configuration();
        if (newest <= state_.configuration_version)
            continue;
        auto const peer = state_.roster.peer_with_configuration(newest, now);
        if (!peer)
            continue;
        auto message = peer_link::make_message(wire::fetch_text{});
        auto const response = co_await call_peer(
            peers_, *peer, std::move(message), now + fetch_timeout);
        if (response)
            apply(response->fetch_text_answer.text, *peer);
        else
            log_event(
                log_level::warning, "configuration_fetch_failed",
                {{"peer", *peer}, {"detail", response.error().error.detail}});
    }
}

} // namespace masticshift::gateway
