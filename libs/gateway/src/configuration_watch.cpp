#include "configuration_watch.hpp"

#include "peer_wire.hpp"

#include <core/log.hpp>
#include <platform/configuration_codec.hpp>

#include <algorithm>
#include <utility>

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

/// How often to check whether the evacuated data centres have to be read.
constexpr milliseconds confirm_interval{50};

/// No more malformed keys than this are logged.
constexpr std::size_t most_malformed = 100;

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

std::vector<dispatch::evacuation_row>
configuration_watch::apply_rows(std::vector<platform::store_row> const& rows)
{
    std::vector<dispatch::evacuation_row> evacuations;
    for (auto const& row : rows)
    {
        if (row.key == platform::configuration_key && !row.removed)
            apply(row.value, "store");
        auto data_centre = platform::decode_evacuation_key(row.key);
        if (!data_centre)
        {
            if (malformed_.size() < most_malformed &&
                malformed_.insert(row.key).second)
                log_event(log_level::warning, "evacuation_skipped",
                          {{"code", static_cast<int>(data_centre.error().code)},
                           {"detail", data_centre.error().detail}});
        }
        else if (!data_centre->empty())
        {
            evacuations.push_back(
                {std::move(*data_centre), row.version, row.removed});
        }
    }
    return evacuations;
}

void configuration_watch::record_evacuations(
    std::vector<dispatch::evacuation_change> const& changes,
    std::string_view source, time_point begun)
{
    state_.evacuation_reads.record_read(begun);
    state_.roster.set_evacuations_version(state_.evacuations.version());
    for (auto const& each : changes)
        log_event(log_level::info,
                  each.evacuated ? "evacuation_begun" : "evacuation_ended",
                  {{"data_centre", each.data_centre},
                   {"version", state_.evacuations.version()},
                   {"source", source},
                   {"has_endpoints",
                    state_.registry.has_endpoints_in(each.data_centre)}});
}

asio::awaitable<bool> configuration_watch::read_all()
{
    auto const begun = steady_clock::now();
    std::vector<dispatch::evacuation_row> evacuations;
    // The configuration's key comes before those of evacuations.
    std::string from(platform::configuration_key);
    std::int64_t version = 0;
    bool more = true;
    while (more)
    {
        bool history_gone = false;
        auto request =
            platform::encode_read(platform::configuration_table, from);
        auto const rows = co_await store_.read(std::move(request), read_timeout,
                                               history_gone);
        if (!rows)
        {
            state_.evacuation_reads.record_failure(begun);
            co_return false;
        }
        auto const found = apply_rows(rows->rows);
        evacuations.insert(evacuations.end(), found.begin(), found.end());
        version = version == 0 ? rows->version : version;
        more = rows->has_more && !rows->rows.empty();
        // A key and a zero byte is the next key in byte order.
        if (more)
            from = rows->rows.back().key + '\0';
    }
    record_evacuations(state_.evacuations.replace(evacuations, version),
                       "store", begun);
    seen_version_ = version;
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
        auto const begun = steady_clock::now();
        auto const wait = store_.reachable() ? watch_wait : milliseconds(0);
        auto const timeout = store_.reachable() ? watch_timeout : read_timeout;
        auto request = platform::encode_watch(platform::configuration_table,
                                              seen_version_, wait);
        auto const rows =
            co_await store_.read(std::move(request), timeout, history_gone);
        if (rows)
        {
            auto const evacuations = apply_rows(rows->rows);
            record_evacuations(
                state_.evacuations.apply(evacuations, rows->version), "store",
                begun);
            seen_version_ = std::max(seen_version_, rows->version);
        }
        else if (!history_gone)
        {
            state_.evacuation_reads.record_failure(begun);
        }
        full_read = history_gone;
        if (!rows || !store_.reachable())
            co_await pause(retry_pause);
    }
}

asio::awaitable<void> configuration_watch::confirm_evacuations()
{
    for (;;)
    {
        co_await pause(confirm_interval);
        state_.evacuation_reads.observe(steady_clock::now());
        if (!state_.evacuation_reads.is_needed())
            continue;
        bool const read = co_await read_all();
        if (!read)
            co_await pause(retry_pause);
    }
}

asio::awaitable<void> configuration_watch::fetch_evacuations()
{
    auto const begun = steady_clock::now();
    auto const peer = state_.roster.peer_with_evacuations(begun);
    if (!peer)
        co_return;
    auto message = peer_link::make_message(wire::fetch_evacuations{});
    auto const response = co_await call_peer(peers_, *peer, std::move(message),
                                             begun + fetch_timeout);
    if (!response)
    {
        log_event(log_level::warning, "evacuations_fetch_failed",
                  {{"peer", *peer}, {"detail", response.error().error.detail}});
        co_return;
    }
    auto const reply = decode_evacuations(response->evacuations_answer);
    if (!reply)
    {
        log_event(log_level::warning, "evacuations_fetch_failed",
                  {{"peer", *peer}, {"detail", reply.error().detail}});
        co_return;
    }
    if (reply->version <= state_.evacuations.version())
        co_return;
    record_evacuations(state_.evacuations.replace(reply->rows, reply->version),
                       *peer, begun);
}

asio::awaitable<void> configuration_watch::follow_peers()
{
    for (;;)
    {
        co_await pause(peer_interval);
        if (state_.evacuation_reads.is_overdue(steady_clock::now()))
            co_await fetch_evacuations();
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
