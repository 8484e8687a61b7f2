#include "peer_exchange.hpp"

#include "peer_wire.hpp"

#include <core/log.hpp>

#include <algorithm>
#include <optional>

namespace masticshift::gateway
{

namespace
{

/// Both are below the 450 ms without a heartbeat after which a peer counts as
/// dead.
constexpr milliseconds heartbeat_interval{100};
constexpr milliseconds heartbeat_timeout{350};

/// A peer counts as dead after two refused connections in a row: no process
/// listens on its address.
constexpr int refusals_until_dead = 2;

constexpr milliseconds longest_relayed_call{5'000};

constexpr std::string_view entry_table = "entries";
constexpr milliseconds store_timeout{500};
constexpr milliseconds store_pause{500};

/// Entries learn of each other from heartbeats, so that the table is read
/// seldom.
constexpr milliseconds directory_interval{10'000};

wire::message refuse(failure const& reason)
{
    wire::refusal refusal;
    refusal.code = static_cast<int>(reason.code);
    refusal.detail = reason.detail;
    return peer_link::make_message(std::move(refusal));
}

} // namespace

asio::awaitable<void> peer_exchange::run()
{
    auto const executor = co_await asio::this_coro::executor;
    pause_.emplace(executor);
    for (auto const& seed : state_.settings.seeds)
        state_.roster.add_candidate(config::to_string(seed));
    auto due = steady_clock::now();
    for (;;)
    {
        auto const now = steady_clock::now();
        state_.callers.ask_if_late(now - due, now);
        log_unanswered_withdrawals(now);
        for (auto const& peer : state_.roster.targets(now))
            asio::co_spawn(executor, send_heartbeat(*this, peer),
                           asio::detached);
        due = steady_clock::now() + heartbeat_interval;
        pause_->expires_after(heartbeat_interval);
        co_await pause_->async_wait(as_values);
    }
}

void peer_exchange::send_now()
{
    if (pause_)
        pause_->cancel();
}

void peer_exchange::log_unanswered_withdrawals(time_point now)
{
    for (auto const& each : state_.roster.withdrawals().take_expired(now))
        log_event(
            log_level::warning, "withdrawal_unanswered",
            {{"job", each.withdrawal.job}, {"dispatcher", each.dispatcher}});
}

asio::awaitable<void> peer_exchange::send_heartbeat(peer_exchange& self,
                                                    std::string peer)
{
    auto const now = steady_clock::now();
    auto const heartbeat = self.state_.roster.heartbeat_to(peer, now);
    auto message = peer_link::make_message(to_wire(heartbeat));
    auto const result = co_await call_peer(
        self.peers_, peer, std::move(message), now + heartbeat_timeout);
    if (result)
    {
        // An earlier build does not read withdrawals in heartbeats.
        if (result->pulse_answer.beat.__isset.last_reading)
            self.acknowledge(peer, heartbeat.withdrawals);
        self.refused_connections_.erase(peer);
        auto const beat = decode_heartbeat(result->pulse_answer.beat);
        if (beat)
            self.state_.roster.record_heartbeat(*beat, steady_clock::now());
        else
            self.log_refused(beat.error());
        co_return;
    }
    self.state_.roster.record_unanswered(peer);
    bool const refused =
        !result.error().sent &&
        result.error().error.code == result_code::peer_unreachable;
    if (refused && ++self.refused_connections_[peer] >= refusals_until_dead)
        self.state_.roster.record_connection_refused(peer);
}

void peer_exchange::acknowledge(
    std::string const& peer,
    std::vector<dispatch::job_withdrawal> const& received)
{
    auto const longest = state_.roster.withdrawals().acknowledge(
        peer, received, steady_clock::now());
    if (longest > duration(0))
        log_event(log_level::info, "withdrawals_acknowledged",
                  {{"dispatcher", peer},
                   {"withdrawals", received.size()},
                   {"ms", to_milliseconds(longest)}});
}

void peer_exchange::log_refused(failure const& reason)
{
    // Heartbeats come ten times a second.
    if (refused_messages_.insert(reason.detail).second)
        log_event(log_level::warning, "peer_message_refused",
                  {{"code", static_cast<int>(reason.code)},
                   {"detail", reason.detail}});
}

std::string peer_exchange::row_key() const
{
    return state_.roster.self().address;
}

asio::awaitable<bool> peer_exchange::read_directory()
{
    bool history_gone = false;
    auto request = platform::encode_read(entry_table, {});
    auto const rows =
        co_await store_.read(std::move(request), store_timeout, history_gone);
    if (!rows)
        co_return false;
    for (auto const& row : rows->rows)
    {
        if (is_peer_address(row.key))
            state_.roster.add_candidate(row.key, row.value);
        else
            log_refused({result_code::platform_bad_answer,
                         "an entry is registered without a valid address"});
    }
    state_.roster.record_directory_read();
    co_return true;
}

asio::awaitable<void> peer_exchange::register_entry()
{
    constexpr unsigned ok = 200;
    bool written = false;
    for (;;)
    {
        if (!written)
        {
            auto request = platform::encode_put(
                entry_table, row_key(), state_.roster.self().data_centre);
            auto const result =
                co_await store_.call(std::move(request), store_timeout);
            written = result && result->status == ok;
        }
        bool const first = !directory_read_;
        bool const learnt = co_await read_directory();
        directory_read_ = directory_read_ || learnt;
        if (first && learnt)
            send_now();
        co_await pause(written && learnt ? directory_interval : store_pause);
    }
}

asio::awaitable<void> peer_exchange::unregister_entry()
{
    auto request = platform::encode_remove(entry_table, row_key());
    auto const result = co_await store_.call(std::move(request), store_timeout);
    if (!result)
        log_event(log_level::warning, "entry_not_unregistered",
                  {{"detail", result.error().error.detail}});
}

asio::awaitable<wire::message> peer_exchange::handle_call(wire::message call)
{
    auto const now = steady_clock::now();
    auto const kind = peer_link::kind_of(call);
    using enum peer_link::message_kind;
    switch (kind.value_or(probe_call))
    {
    case pulse_call:
    {
        auto const heartbeat = decode_heartbeat(call.pulse_call);
        if (!heartbeat)
        {
            log_refused(heartbeat.error());
            co_return refuse(heartbeat.error());
        }
        refused_connections_.erase(heartbeat->sender.address);
        for (auto const& each : heartbeat->withdrawals)
            cell_manager_.withdraw(each.cell, each.job, heartbeat->sender,
                                   each.submission);
        state_.roster.record_heartbeat(*heartbeat, now);
        wire::pulse_reply reply;
        reply.beat = to_wire(state_.roster.response_to(*heartbeat, now));
        co_return peer_link::make_message(std::move(reply));
    }
    case dispatch_call:
        co_return co_await handle_dispatch_call(std::move(call.dispatch_call));
    case withdraw_call:
        cell_manager_.withdraw(call.withdraw_call.cell, call.withdraw_call.id,
                               from_wire(call.withdraw_call.origin),
                               call.withdraw_call.submission);
        break;
    case cancel_call:
    {
        auto const age = std::clamp<std::int64_t>(
            call.cancel_call.age_ms, 0,
            dispatch::cancelled_jobs::retention.count());
        wire::cancel_job_reply reply;
        reply.known = cell_manager_.cancel(call.cancel_call.id,
                                           now - milliseconds(age), now);
        co_return peer_link::make_message(reply);
    }
    case release_call:
        cell_manager_.accept_released(call.release_call.cell,
                                      call.release_call.endpoints,
                                      call.release_call.last);
        break;
    case speeds_call:
        for (auto const& row : call.speeds_call.speeds)
            state_.learnt_speeds[row.vm] = row.speed;
        break;
    case relay_call:
        co_return co_await handle_relay_call(std::move(call.relay_call));
    case fetch_text_call:
    {
        wire::fetch_text_reply reply;
        reply.revision = state_.configuration_version;
        reply.text = state_.configuration_text;
        co_return peer_link::make_message(std::move(reply));
    }
    case evacuations_call:
    {
        wire::fetch_evacuations_reply reply;
        // A list from before a pause must not confirm that of another entry.
        if (state_.evacuation_reads.is_usable(now))
        {
            reply.version = state_.evacuations.version();
            reply.data_centres = state_.evacuations.data_centres();
        }
        co_return peer_link::make_message(std::move(reply));
    }
    default:
        co_return refuse({result_code::peer_protocol,
                          "a gateway does not serve this kind of call"});
    }
    co_return peer_link::make_message(wire::acknowledgement{});
}

asio::awaitable<wire::message>
peer_exchange::handle_dispatch_call(wire::dispatch_job call)
{
    auto const origin = decode_entry(call.origin);
    if (!origin)
    {
        log_refused(origin.error());
        co_return refuse(origin.error());
    }
    auto const cell = call.cell;
    std::optional<dispatch::clock_reading> reading;
    if (call.__isset.last_reading)
        reading = from_wire(call.last_reading);
    auto job = from_wire(std::move(call));
    if (!job)
        co_return refuse(job.error());
    auto const now = steady_clock::now();
    if (reading && refuses_as_outdated(*job, *origin, *reading, now))
        co_return reply_to_job(
            {dispatch::job_end::refused, dispatch::end_reason::outdated});
    auto const sent_after = reading ? time_point(reading->time) : now;
    if (!state_.roster.record_job_from(*origin, sent_after, now))
        co_return refuse({result_code::peer_protocol,
                          "the entry that sent the job has ended"});
    co_return reply_to_job(co_await cell_manager_.run_job(cell, std::move(*job),
                                                          *origin, sent_after));
}

bool peer_exchange::refuses_as_outdated(dispatch::job_spec const& job,
                                        dispatch::entry_identity const& origin,
                                        dispatch::clock_reading const& last,
                                        time_point now)
{
    auto const& self = state_.roster.self();
    bool const current = state_.roster.origins().is_current(origin, now);
    if (!dispatch::submission_guard::is_outdated(last, self, current, now))
        return false;
    auto const age = dispatch::reading_at(now) - last.time;
    log_event(log_level::info, "submission_refused",
              {{"job", job.id},
               {"origin", origin.address},
               {"submission", job.submission},
               {"reason", name_of(dispatch::end_reason::outdated)},
               {"reading_age_ms",
                last.incarnation == self.incarnation ? age.count() : -1}});
    return true;
}

wire::message
peer_exchange::reply_to_job(dispatch::job_result const& result) const
{
    auto reply = to_wire(result);
    reply.reading = to_wire(
        dispatch::clock_reading{state_.roster.self().incarnation,
                                dispatch::reading_at(steady_clock::now())});
    return peer_link::make_message(std::move(reply));
}

asio::awaitable<wire::message>
peer_exchange::handle_relay_call(wire::relay_read call)
{
    transport::http_request request;
    request.target = std::move(call.target);
    auto const timeout = std::clamp(milliseconds(call.timeout_ms),
                                    milliseconds(0), longest_relayed_call);
    auto const result = co_await store_.call(std::move(request), timeout);
    wire::relay_read_reply reply;
    reply.status = 0;
    if (result)
    {
        reply.status = static_cast<std::int32_t>(result->status);
        reply.body = result->body;
    }
    co_return peer_link::make_message(std::move(reply));
}

} // namespace masticshift::gateway
