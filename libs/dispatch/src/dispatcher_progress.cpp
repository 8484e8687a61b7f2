#include "dispatcher_impl.hpp"
#include "progress_check.hpp"

#include <utility>

namespace masticshift::dispatch
{

namespace
{

/// Number of runs of a task that are stopped because they make no progress.
/// The next run is left alone.
constexpr int max_stuck_runs = 4;

/// Whether the present run of the task is to be stopped, so that it starts on
/// another endpoint. Counts the restart if so.
bool note_restart(task_state& task, progress judged)
{
    switch (judged)
    {
    case progress::as_expected:
        return false;
    case progress::slow:
        if (std::exchange(task.restarted_as_slow, true))
            return false;
        break;
    case progress::stuck:
        if (task.stuck_runs >= max_stuck_runs)
            return false;
        ++task.stuck_runs;
        break;
    }
    task.avoided = task.endpoint;
    return true;
}

} // namespace

duration dispatcher::impl::restart_time(placed_run const& run, time_point now)
{
    auto const& task = run.job->tasks[run.task];
    auto const& step = run.job->spec.steps[static_cast<std::size_t>(task.step)];
    placement_choice const choice(accounts_, speeds_, limits_.remote_factor);
    run_history history;
    history.avoided = task.endpoint;
    auto const place = choice.choose(*run.job, step, task.step,
                                     time_point::max(), now, history);
    return place.endpoint == nullptr ? duration::max() / 8 : place.expected;
}

void dispatcher::impl::check_progress(endpoint_account& account, time_point now)
{
    // A run that is stopped could not be started elsewhere in the cell.
    if (evacuated_)
        return;
    std::vector<run_key> stops;
    for (auto const& [key, run] : account.runs())
    {
        if (run.phase != run_phase::running || run.unwanted || !run.job ||
            run.job->ended || now - run.confirmed < run.expected)
            continue;
        auto const judged = judge_progress(run, restart_time(run, now), now);
        auto& task = run.job->tasks[run.task];
        if (!note_restart(task, judged))
            continue;
        auto const& step =
            run.job->spec.steps[static_cast<std::size_t>(task.step)];
        if (!run.cold)
            speeds_.observe_lower_bound(run.job->spec.queue,
                                        account.record().vm, step.estimate,
                                        now - run.confirmed);
        if (judged == progress::stuck)
            record_failure(account, endpoint_failure::run_stuck, now);
        record_decision(
            "run_restarted", *run.job, key.task, account.record().id,
            judged == progress::stuck ? "stuck" : "slow", run.percent);
        stops.push_back(key);
    }
    for (auto const& key : stops)
        stop_run(account, key, now);
}

} // namespace masticshift::dispatch
