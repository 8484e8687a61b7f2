#include "configuration_watch.hpp"

#include <core/log.hpp>
#include <platform/configuration_codec.hpp>

namespace masticshift::gateway
{

namespace
{

/// A watch waits this long for a change. A connection that has gone silent is
/// noticed after it, and a configuration has two seconds to come into force.
constexpr milliseconds watch_wait{900};
constexpr milliseconds watch_timeout{1'200};

/// Answers of the store take 4 ms, and 60 times as long on bad days.
constexpr milliseconds read_timeout{400};

/// Pause after a failed call, so that an outage costs few calls.
constexpr milliseconds retry_pause{250};

/// How often the versions that peers tell are looked at.
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
                  {{"source", source}, {"detail", decoded.error().detail}});
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

void configuration_watch::take_rows(platform::store_rows const& rows)
{
    for (auto const& row : rows.rows)
    {
        if (row.key == platform::configuration_key && !row.removed)
            apply(row.value, "store");
    }
}

asio::awaitable<bool> configuration_watch::read_whole()
{
    bool history_gone = false;
    auto request = platform::encode_read(platform::configuration_table,
                                         platform::configuration_key);
    auto const rows =
        co_await store_.read(std::move(request), read_timeout, history_gone);
    if (!rows)
        co_return false;
    take_rows(*rows);
    seen_ = rows->version;
    co_return true;
}

asio::awaitable<void> configuration_watch::follow_store()
{
    bool whole = true;
    for (;;)
    {
        if (whole)
        {
            whole = !co_await read_whole();
            if (whole)
                co_await pause(retry_pause);
            continue;
        }
        bool history_gone = false;
        auto const wait = store_.reachable() ? watch_wait : milliseconds(0);
        auto const timeout = store_.reachable() ? watch_timeout : read_timeout;
        auto request =
            platform::encode_watch(platform::configuration_table, seen_, wait);
        auto const rows =
            co_await store_.read(std::move(request), timeout, history_gone);
        if (rows)
        {
            take_rows(*rows);
            seen_ = std::max(seen_, rows->version);
        }
        whole = history_gone;
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
        auto const holder = state_.roster.peer_with_configuration(newest, now);
        if (!holder)
            continue;
        auto message = peer_link::make_message(wire::fetch_text{});
        auto const answer = co_await call_peer(
            peers_, *holder, std::move(message), now + fetch_timeout);
        if (answer)
            apply(answer->fetch_text_answer.text, *holder);
        else
            log_event(
                log_level::warning, "configuration_fetch_failed",
                {{"peer", *holder}, {"detail", answer.error().error.detail}});
    }
}

} // namespace masticshift::gateway
