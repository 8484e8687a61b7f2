// Entries of resubmission_model, in the order of libs/gateway.

#include "resubmission_model.hpp"

#include <algorithm>
#include <utility>

namespace masticshift::dispatch::testing
{

resubmission_model::entry resubmission_model::make_entry(int number)
{
    entry made;
    made.address = "e" + std::to_string(number) + ":1";
    made.roster = std::make_unique<peer_roster>(
        entry_identity{made.address, ++incarnations_, "dc", 1'000}, now_);
    made.beat_due = now_;
    for (int i = 0; i < dispatcher_count; ++i)
        made.roster->add_candidate("d" + std::to_string(i) + ":1", "dc");
    return made;
}

void resubmission_model::send_submission(entry& from, caller const& of)
{
    send(from.address, from.roster->self().incarnation, of.dispatcher,
         submission{of.job, of.number,
                    from.roster->last_reading(of.dispatcher)});
}

void resubmission_model::drive(entry& each)
{
    if (now_ < each.busy_until)
        return;
    if (now_ >= each.beat_due)
    {
        if (now_ - each.beat_due > longest_loop_delay)
            withdraw_left(each);
        for (auto const& receiver : each.roster->targets(now_))
            send_heartbeat(each, receiver);
        each.beat_due = now_ + heartbeat_interval;
    }
    withdraw_left(each);
    for (auto const& received : std::exchange(each.inbox, {}))
        receive(each, received);
}

void resubmission_model::send_heartbeat(entry& from, std::string const& to)
{
    auto beat = from.roster->heartbeat_to(to, now_);
    if (faults_.former_heartbeats)
    {
        beat.last_reading.reset();
        beat.withdrawals.clear();
        if (is_silent(from, to))
            return;
    }
    send(from.address, from.roster->self().incarnation, to,
         heartbeat_call{std::move(beat)});
}

bool resubmission_model::is_silent(entry const& from,
                                   std::string const& to) const
{
    auto const open = from.roster->withdrawals().open(to);
    return std::ranges::any_of(
        from.silent_since,
        [&](auto const& each)
        {
            return now_ - each.second >= 2 * withdrawal_timeout &&
                   std::ranges::find(open, each.first) != open.end();
        });
}

void resubmission_model::withdraw_left(entry& from)
{
    std::erase_if(from.callers,
                  [&](caller const& each)
                  {
                      if (!each.gone)
                          return false;
                      withdraw(from, each);
                      return true;
                  });
}

void resubmission_model::withdraw(entry& from, caller const& left)
{
    record(left.job, "withdrawn by " + from.address);
    job_withdrawal const withdrawal{left.job, "cell", left.number};
    from.roster->end_job_at(left.dispatcher, now_);
    from.roster->withdrawals().add(left.dispatcher, withdrawal, now_);
    from.silent_since.emplace_back(withdrawal, now_);
    send(from.address, from.roster->self().incarnation, left.dispatcher,
         withdrawal);
}

void resubmission_model::receive(entry& by, message const& received)
{
    if (auto const* const reply = std::get_if<heartbeat_reply>(&received.what))
    {
        by.roster->record_heartbeat(reply->beat, now_);
        by.roster->withdrawals().acknowledge(received.from, reply->received,
                                             now_);
    }
    else if (auto const* const beat =
                 std::get_if<heartbeat_call>(&received.what))
        by.roster->record_heartbeat(beat->beat, now_);
    else if (auto const* const refused = std::get_if<refusal>(&received.what))
        submit_again(by, received.from, *refused);
    else if (auto const* const done =
                 std::get_if<withdrawal_reply>(&received.what))
        by.roster->withdrawals().acknowledge(received.from, {done->withdrawal},
                                             now_);
}

void resubmission_model::submit_again(entry& by, std::string const& from,
                                      refusal const& refused)
{
    by.roster->record_clock(from, refused.reading);
    for (auto& each : by.callers)
    {
        if (each.job != refused.job || each.number != refused.number)
            continue;
        each.number = ++submissions_;
        send_submission(by, each);
    }
}

} // namespace masticshift::dispatch::testing
