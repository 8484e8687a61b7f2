// What `endpoint_account` concludes from the end of an endpoint's process.

#include "endpoint_account.hpp"

#include <dispatch/resubmission_bounds.hpp>

#include <algorithm>
#include <utility>

namespace masticshift::dispatch
{

namespace
{

/// A task that crashes its endpoint does so soon after its start: a run of this
/// age is not the likely cause.
constexpr milliseconds settling_time{50};

/// Whether the run was certainly started, and long enough ago.
bool has_settled(placed_run const& run, time_point now)
{
    return run.phase == run_phase::running && run.unanswered_starts == 0 &&
           now - run.confirmed >= settling_time;
}

} // namespace

bool endpoint_account::reset_if_restarted(std::int64_t started_ms,
                                          time_point now)
{
    auto const proof =
        process_end::from_start_times(process_started_ms_, started_ms);
    if (started_ms != 0 && started_ms != process_started_ms_)
    {
        process_started_ms_ = started_ms;
        process_found_ = now;
    }
    if (!proof)
        return false;
    mark_process_ended(*proof, now);
    for (auto& [key, run] : runs_)
        run.same_id_restarted = true;
    clock_.reset();
    seen_end_ = acknowledged_end_ = 0;
    health_ = {};
    return true;
}

void endpoint_account::record_connection_refused(time_point now)
{
    if (!refused_since_)
        refused_since_ = now;
    list_again();
}

void endpoint_account::record_process_ended(process_end proof, time_point now)
{
    mark_process_ended(proof, now);
    process_ended_ = true;
    list_again();
}

void endpoint_account::mark_process_ended(process_end, time_point now)
{
    for (auto& [key, run] : runs_)
    {
        run.process_ended = true;
        run.stop_confirmed.reset();
    }
    if (record_.stage == endpoint_stage::ready)
    {
        // The process had ended when its address refused connections.
        auto const found = refused_since_.value_or(now);
        for (auto& [key, run] : runs_)
        {
            if (run.crash == crash_evidence::none)
                run.crash = crash_evidence_of(run, found);
        }
        std::ranges::move(expired_, std::back_inserter(lost_with_process_));
    }
    expired_.clear();
}

crash_evidence endpoint_account::crash_evidence_of(placed_run const& run,
                                                   time_point found) const
{
    auto const last_seen = std::max(run.confirmed, run.listed);
    if (run.phase != run_phase::running || run.unwanted ||
        found - last_seen > unresponsive_after)
        return crash_evidence::possible;
    bool const other_is_new = std::ranges::any_of(
        runs_,
        [&](auto const& each)
        {
            return &each.second != &run && !has_settled(each.second, found);
        });
    if (has_settled(run, found))
        return other_is_new ? crash_evidence::bystander
                            : crash_evidence::shared;
    return other_is_new ? crash_evidence::shared : crash_evidence::sole;
}

std::vector<finished_run> endpoint_account::take_lost_with_process()
{
    return std::exchange(lost_with_process_, {});
}

std::vector<finished_run> endpoint_account::take_ended_with_process(process_end)
{
    std::vector<finished_run> finished;
    for (auto place = runs_.begin(); place != runs_.end();)
    {
        auto const next = std::next(place);
        auto const& run = place->second;
        if (run.phase == run_phase::running && run.unanswered_starts == 0)
            finished.push_back(take(place, std::nullopt));
        place = next;
    }
    return finished;
}

} // namespace masticshift::dispatch
