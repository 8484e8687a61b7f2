#include "endpoint_account.hpp"

#include <dispatch/resubmission_bounds.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace masticshift::dispatch
{

namespace
{

/// Longest wait of a list while no run has to be stopped. Less than a third of
/// the lease, so that two renewals in a row may fail.
constexpr milliseconds max_list_wait{200};

/// A list waits until shortly after the next end is expected. If its response
/// is lost, the following list reports that end soon.
constexpr milliseconds min_list_wait{40};
constexpr milliseconds list_wait_margin{15};

/// Wait of a list while a run is being stopped, which does not take long, and
/// for some time after a call without a response. A lost response to a list
/// that waits is noticed only after the wait, with all ends that it reported.
constexpr milliseconds short_list_wait{20};
constexpr milliseconds short_waits_after_failure{1'000};

/// How long a start order without a response may be in transit. Meanwhile the
/// endpoint is listed, so that its next process soon has a higher token.
constexpr milliseconds longest_transit{15'000};

/// A process writes its record to the store when it starts. One that is still
/// missing after this time is left to the regular reads.
constexpr milliseconds record_search_time{1'000};

constexpr std::array link_names{"unread", "active", "silent", "outranked"};

} // namespace

char const* name_of(endpoint_link link)
{
    return link_names.at(static_cast<std::size_t>(link));
}

endpoint_account::endpoint_account(endpoint_record record, std::int64_t token,
                                   dispatch_limits limits)
    : record_(std::move(record)), token_(token), limits_(limits)
{
}

void endpoint_account::update(endpoint_record record)
{
    if (record.ip != record_.ip || record.port != record_.port)
        ++address_number_;
    record_ = std::move(record);
}

bool endpoint_account::was_listed_here() const
{
    return listed_address_ == address_number_;
}

bool endpoint_account::advance_token(std::int64_t token)
{
    if (link_ == endpoint_link::active || token <= token_)
        return false;
    token_ = token;
    link_ = endpoint_link::unread;
    return true;
}

void endpoint_account::raise_token(std::int64_t token)
{
    token_ = token;
    list_again();
}

void endpoint_account::list_again()
{
    if (link_ == endpoint_link::active)
        link_ = endpoint_link::unread;
}

resources endpoint_account::free() const
{
    if (foreign_runs_ > 0 ||
        (record_.slots > 0 && static_cast<int>(runs_.size()) >= record_.slots))
        return {};
    return record_.capacity - used_;
}

bool endpoint_account::all_wanted() const
{
    return std::ranges::none_of(runs_,
                                [](auto const& each)
                                {
                                    return each.second.unwanted ||
                                           each.second.phase ==
                                               run_phase::foreign;
                                });
}

bool endpoint_account::takes_work() const
{
    return link_ == endpoint_link::active &&
           record_.stage == endpoint_stage::ready && clock_.known() &&
           record_matches_process() && all_wanted();
}

bool endpoint_account::record_matches_process() const
{
    // 0: unknown.
    return process_started_ms_ == 0 || record_.started_ms == 0 ||
           record_.started_ms == process_started_ms_;
}

bool endpoint_account::needs_record(time_point now) const
{
    return !record_matches_process() &&
           now - process_found_ < record_search_time;
}

bool endpoint_account::is_being_read() const
{
    return link_ == endpoint_link::unread &&
           record_.stage == endpoint_stage::ready &&
           last_call_failure_ == time_point{};
}

std::int64_t endpoint_account::add_run(run_key const& key, placed_run run,
                                       time_point now)
{
    run.ordered = now;
    run.progressed = now;
    extend_start(run, now);
    used_ += run.need;
    lone_runs_ += run.alone ? 1 : 0;
    auto const until = run.lease_until;
    runs_.emplace(key, std::move(run));
    return until;
}

std::int64_t endpoint_account::repeat_start(placed_run& run, time_point now)
{
    if (all_wanted())
        return extend_start(run, now);
    run.token = token_;
    return run.lease_until;
}

std::int64_t endpoint_account::extend_start(placed_run& run, time_point now)
{
    run.lease_until = clock_.lease_end(now, limits_.longest_lease);
    run.lease_passed = clock_.time_when_passed(run.lease_until);
    run.token = token_;
    record_lease(run.lease_until);
    return run.lease_until;
}

void endpoint_account::record_lease(std::int64_t lease_until)
{
    last_lease_end_ =
        std::max(last_lease_end_, clock_.time_when_passed(lease_until));
}

std::optional<list_order> endpoint_account::next_list(time_point now)
{
    list_order order{token_,          seen_end_,       std::nullopt,
                     milliseconds(0), address_number_, process_started_ms_};
    switch (link_)
    {
    case endpoint_link::outranked:
        return std::nullopt;
    case endpoint_link::unread:
    case endpoint_link::silent:
        return order;
    case endpoint_link::active:
        break;
    }
    if (runs_.empty())
    {
        if (seen_end_ > acknowledged_end_)
            return order;
        if (!is_watched(now))
            return std::nullopt;
        order.wait = max_list_wait;
        return order;
    }
    order.wait = short_list_wait;
    if (clock_.known() && all_wanted())
    {
        order.wait = wait_for_end(now);
        order.lease_until = clock_.lease_end(now, limits_.longest_lease);
        record_lease(*order.lease_until);
    }
    return order;
}

bool endpoint_account::renew_unsent(start_order& order)
{
    auto const found = runs_.find(order.run);
    if (found == runs_.end() || found->second.unwanted ||
        link_ == endpoint_link::outranked ||
        order.process_started_ms != process_started_ms_)
        return false;
    found->second.token = order.token = token_;
    return true;
}

milliseconds endpoint_account::wait_for_end(time_point now) const
{
    bool const failed_lately =
        last_call_failure_ != time_point{} &&
        now - last_call_failure_ < short_waits_after_failure;
    if (failed_lately)
        return short_list_wait;
    auto wait = max_list_wait;
    for (auto const& [key, run] : runs_)
    {
        auto const started = std::max(run.ordered, run.confirmed);
        auto const left = std::chrono::duration_cast<milliseconds>(
            started + run.expected + list_wait_margin - now);
        wait = std::min(wait, std::max(left, min_list_wait));
    }
    return wait;
}

void endpoint_account::record_acknowledged(std::int64_t number)
{
    acknowledged_end_ = std::max(acknowledged_end_, number);
}

bool endpoint_account::has_ended(placed_run const& run, list_order const& order,
                                 time_point sent)
{
    // A run that is being stopped stays listed until its end is listed. If it
    // had not started when the stop was confirmed, the endpoint rejects a later
    // start.
    if (run.stop_confirmed && *run.stop_confirmed <= sent)
        return true;
    switch (run.phase)
    {
    case run_phase::foreign:
        return true;
    case run_phase::running:
        // An order without a response may reach the next process.
        if (!run.process_ended || run.unanswered_starts == 0)
            return run.confirmed < sent;
        break;
    case run_phase::starting:
        break;
    }
    // The endpoint rejects a start order with a lower token than this list's.
    // Its lease says nothing to the next process, which has another clock.
    return run.token < order.token ||
           (!run.process_ended && run.lease_passed < sent);
}

void endpoint_account::apply_active(active_run const& seen, time_point sent,
                                    time_point now, list_changes& changes)
{
    auto const found = runs_.find(seen.run);
    if (found == runs_.end())
    {
        placed_run foreign;
        foreign.phase = run_phase::foreign;
        foreign.ordered = now;
        foreign.unwanted = true;
        runs_.emplace(seen.run, foreign);
        ++foreign_runs_;
        changes.foreign.push_back(seen.run);
        return;
    }
    auto& run = found->second;
    run.listed = now;
    run.crash = crash_evidence::none;
    run.process_ended = false;
    run.same_id_restarted = false;
    if (run.phase == run_phase::starting)
    {
        run.phase = run_phase::running;
        run.confirmed = sent;
    }
    if (seen.percent > run.percent)
    {
        run.percent = seen.percent;
        run.progressed = now;
    }
}

list_changes endpoint_account::apply_list(run_list const& list,
                                          list_order const& order,
                                          time_point sent, time_point now)
{
    list_changes changes;
    process_ended_ = false;
    lists_fail_ = false;
    listed_address_ = order.address_number;
    auto const former_process = process_started_ms_;
    changes.restarted = reset_if_restarted(list.started_ms, now);
    changes.new_process = process_started_ms_ != former_process;
    expired_.clear();
    // Until a complete list, runs of other dispatchers may be unknown here.
    if (link_ != endpoint_link::outranked && list.complete)
        link_ = endpoint_link::active;
    if (order.token == token_)
        accepted_ = now;
    for (auto const& ended : list.ended)
    {
        seen_end_ = std::max(seen_end_, ended.number);
        auto const found = runs_.find(ended.run);
        if (found != runs_.end())
            changes.finished.push_back(take(found, ended.end));
    }
    std::set<run_key> active;
    for (auto const& seen : list.active)
    {
        apply_active(seen, sent, now, changes);
        active.insert(seen.run);
    }
    if (!list.complete)
        return changes;
    for (auto place = runs_.begin(); place != runs_.end();)
    {
        auto const next = std::next(place);
        if (!active.contains(place->first) &&
            has_ended(place->second, order, sent))
            changes.finished.push_back(take(place, std::nullopt));
        place = next;
    }
    return changes;
}

void endpoint_account::record_clock(std::int64_t endpoint_ms,
                                    time_point received,
                                    std::optional<time_point> sent)
{
    clock_.observe(endpoint_ms, received, sent);
}

void endpoint_account::record_response(time_point now)
{
    last_response_ = now;
    refused_since_.reset();
}

void endpoint_account::record_call_failure(time_point now)
{
    last_call_failure_ = now;
    if (link_ == endpoint_link::active &&
        now - last_response_ > unresponsive_after)
        link_ = endpoint_link::silent;
}

void endpoint_account::record_unanswered_start(time_point now)
{
    watched_until_ = now + longest_transit;
}

void endpoint_account::record_unbound_start(placed_run& run, time_point now)
{
    auto const end = now + longest_lease_time(limits_.longest_grant);
    run.lease_passed = std::max(run.lease_passed, end);
    last_lease_end_ = std::max(last_lease_end_, end);
}

void endpoint_account::record_outranked()
{
    link_ = endpoint_link::outranked;
}

bool endpoint_account::may_start_later(placed_run const& run,
                                       time_point now) const
{
    return run.same_id_restarted && is_watched(now) &&
           (run.phase == run_phase::starting || run.unanswered_starts > 0);
}

std::vector<finished_run> endpoint_account::take_expired(time_point now)
{
    std::vector<finished_run> finished;
    if (runs_.empty() || now <= last_lease_end_ || foreign_runs_ > 0)
        return finished;
    for (auto place = runs_.begin(); place != runs_.end();)
    {
        auto const next = std::next(place);
        auto const& run = place->second;
        if (!may_start_later(run, now))
        {
            if (refused_since_ && run.crash == crash_evidence::none)
            {
                expired_.push_back({place->first, run, std::nullopt});
                expired_.back().run.crash =
                    crash_evidence_of(run, *refused_since_);
            }
            finished.push_back(take(place, std::nullopt));
        }
        place = next;
    }
    return finished;
}

std::optional<finished_run> endpoint_account::remove(run_key const& key)
{
    auto const found = runs_.find(key);
    if (found == runs_.end())
        return std::nullopt;
    return take(found, std::nullopt);
}

finished_run endpoint_account::take(run_map::iterator place,
                                    std::optional<run_end> end)
{
    finished_run finished{place->first, std::move(place->second), end};
    used_ -= finished.run.need;
    lone_runs_ -= finished.run.alone ? 1 : 0;
    if (finished.run.phase == run_phase::foreign)
        --foreign_runs_;
    runs_.erase(place);
    return finished;
}

} // namespace masticshift::dispatch
