// Dispatchers of resubmission_model, in the order of libs/gateway.

#include "resubmission_model.hpp"

#include <algorithm>
#include <utility>

namespace masticshift::dispatch::testing
{

resubmission_model::dispatching resubmission_model::make_dispatcher(int number)
{
    dispatching made;
    made.address = "d" + std::to_string(number) + ":1";
    made.roster = std::make_unique<peer_roster>(
        entry_identity{made.address, ++incarnations_, "dc", 1'000}, now_);
    made.tested = std::make_unique<dispatcher>(
        dispatch_limits{lease_within(milliseconds(1'000)), 1}, 100);
    for (int i = 0; i < endpoints_each; ++i)
    {
        auto const id = "w" + std::to_string(number) + "-" + std::to_string(i);
        endpoint added{endpoint_model(make_endpoint(id))};
        added.rate = 0.98 + 0.005 * i;
        made.tested->update_endpoint(added.model.record());
        made.endpoints.push_back(std::move(added));
    }
    made.stepped = now_;
    return made;
}

void resubmission_model::drive(dispatching& each)
{
    if (now_ < each.busy_until)
        return;
    // After a pause timers and messages are handled in any order.
    bool const reads_first = chance(50);
    if (reads_first)
        receive_all(each);
    read_endpoints(each);
    if (!reads_first)
        receive_all(each);
    cancel_lost(each);
    each.tested->tick(now_);
    each.stepped = now_;
    send_orders(each);
    if (chance(10))
    {
        for (auto const& receiver : each.roster->targets(now_))
            send(each.address, each.roster->self().incarnation, receiver,
                 heartbeat_call{each.roster->heartbeat_to(receiver, now_)});
    }
    for (auto const& job : each.tested->take_finished())
        each.waiting.erase({job.id, job.origin});
}

void resubmission_model::receive_all(dispatching& by)
{
    for (auto const& received : std::exchange(by.inbox, {}))
        receive(by, received);
}

void resubmission_model::receive(dispatching& by, message const& received)
{
    entry_identity const origin{received.from, received.from_incarnation, "dc",
                                1'000};
    auto const incarnation = by.roster->self().incarnation;
    if (auto const* const call = std::get_if<heartbeat_call>(&received.what))
    {
        for (auto const& each : call->beat.withdrawals)
            withdraw(by, origin, each);
        by.roster->record_heartbeat(call->beat, now_);
        send(by.address, incarnation, received.from,
             heartbeat_reply{by.roster->response_to(call->beat, now_),
                             call->beat.withdrawals});
    }
    else if (auto const* const withdrawal =
                 std::get_if<job_withdrawal>(&received.what))
    {
        withdraw(by, origin, *withdrawal);
        send(by.address, incarnation, received.from,
             withdrawal_reply{*withdrawal});
    }
    else if (auto const* const sent = std::get_if<submission>(&received.what))
        accept(by, origin, *sent);
}

void resubmission_model::accept(dispatching& by, entry_identity const& origin,
                                submission const& sent)
{
    auto const& self = by.roster->self();
    bool const current = by.roster->origins().is_current(origin, now_);
    if (submission_guard::is_outdated(sent.last_reading, self, current, now_))
    {
        send(by.address, self.incarnation, origin.address,
             refusal{
                 sent.job, sent.number, {self.incarnation, reading_at(now_)}});
        return;
    }
    time_point const sent_after(sent.last_reading.time);
    if (!by.roster->record_job_from(origin, sent_after, now_) ||
        by.guard.is_withdrawn(origin_name(origin), sent.job, sent.number,
                              now_) ||
        now_ - by.stepped > paused_step)
        return;
    if (!faults_.former_heartbeats)
        cancel_lost(by);
    record(sent.job, "accepted by " + by.address);
    auto spec = make_spec(sent.job, 1);
    spec.steps[0].estimate = long_run;
    spec.slack_factor = 20;
    spec.caller_timeout = 2 * long_run;
    by.waiting[{sent.job, origin_name(origin)}] = {origin, sent.number,
                                                   sent_after};
    by.tested->submit(std::move(spec), origin_name(origin), now_);
}

void resubmission_model::withdraw(dispatching& by, entry_identity const& origin,
                                  job_withdrawal const& withdrawal)
{
    by.guard.record_withdrawal(origin_name(origin), withdrawal.job,
                               withdrawal.submission, now_);
    auto const found = by.waiting.find({withdrawal.job, origin_name(origin)});
    if (found != by.waiting.end() &&
        found->second.submission > withdrawal.submission)
        return;
    by.tested->withdraw(withdrawal.job, origin_name(origin), now_);
}

void resubmission_model::cancel_lost(dispatching& by)
{
    if (now_ - by.origins_checked < origin_check_interval)
        return;
    by.origins_checked = now_;
    std::set<std::string> lost;
    for (auto const& [key, job] : by.waiting)
    {
        if (!by.roster->wants_job(job.origin, job.sent_after, now_))
            lost.insert(key.second);
    }
    for (auto const& origin : lost)
    {
        ++counts_.cancelled_origins;
        record({}, by.address + " cancels the jobs of " + origin);
        by.tested->cancel_jobs_of_origin(origin, now_);
    }
}

void resubmission_model::read_endpoints(dispatching& by)
{
    for (auto& each : by.endpoints)
    {
        // As often as lists return when nothing ends.
        if (!chance(30))
            continue;
        if (!faults_.former_heartbeats)
            cancel_lost(by);
        auto const id = each.model.record().id;
        auto const order = by.tested->next_list(id, now_);
        if (!order)
            continue;
        run_list list;
        auto const response = each.model.list(*order, clock(each), list);
        if (response == order_response::accepted)
            by.tested->list_answered(id, *order, list, clock(each), now_, now_);
        else
            by.tested->list_failed(id, response, now_);
    }
}

void resubmission_model::send_orders(dispatching& by)
{
    for (auto const& order : by.tested->take_starts())
    {
        auto& to = endpoint_of(by, order.endpoint);
        auto const response = to.model.start(order, clock(to), long_run, false);
        record(order.run.task.substr(0, order.run.task.find('.')),
               "run " + std::to_string(order.run.number) + " at " +
                   order.endpoint + ": " + name_of(response));
        by.tested->start_answered(order, response, clock(to), now_);
    }
    for (auto const& order : by.tested->take_stops())
    {
        auto& to = endpoint_of(by, order.endpoint);
        if (chance(faults_.lost_stops))
            continue;
        by.tested->stop_answered(order, to.model.stop(order, clock(to)), now_);
    }
}

resubmission_model::endpoint&
resubmission_model::endpoint_of(dispatching& by, std::string const& id)
{
    return *std::ranges::find_if(by.endpoints,
                                 [&](endpoint const& each)
                                 {
                                     return each.model.record().id == id;
                                 });
}

} // namespace masticshift::dispatch::testing
