#include "progress_check.hpp"

#include <algorithm>

namespace masticshift::dispatch
{

namespace
{

/// Percentages are read with each list, every 200 ms at the latest.
constexpr milliseconds least_stuck_time{450};

/// A run that has not moved for this many times its expected time is stuck.
constexpr int stuck_factor = 1;

/// A restart loses what was done, and its own time is as uncertain as this
/// run's: it has to be this much faster.
constexpr double restart_gain = 2.0;

/// A run that will take this many times as long as expected has a slow endpoint
/// under it. One that takes less long may just have been declared too short:
/// declared run times are off by 40 %, and a new run would take as long. This
/// is beyond two deviations, e^(2 x 0.4).
constexpr double slow_factor = 2.5;

/// Below this, the rate of progress can't be told from the percentage.
constexpr int least_percent = 4;

} // namespace

duration remaining_time(placed_run const& run, time_point now)
{
    auto const taken = now - run.confirmed;
    if (run.percent < least_percent)
        return std::max(run.expected - taken, duration(0));
    auto const moved = run.progressed - run.confirmed;
    auto const whole = moved * 100 / run.percent;
    return std::max(whole - taken, duration(0));
}

progress judge_progress(placed_run const& run, duration restart, time_point now)
{
    auto const still = now - std::max(run.progressed, run.confirmed);
    if (still > least_stuck_time && still > run.expected * stuck_factor)
        return progress::stuck;
    auto const remaining = remaining_time(run, now);
    auto const whole = now - run.confirmed + remaining;
    if (whole > run.expected * slow_factor && run.percent >= least_percent &&
        std::chrono::duration_cast<duration>(restart * restart_gain) <
            remaining)
        return progress::slow;
    return progress::as_expected;
}

} // namespace masticshift::dispatch
