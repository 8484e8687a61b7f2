#include "progress_check.hpp"

#include <algorithm>

namespace masticshift::dispatch
{

namespace
{

/// Percentages are read with each list, at least every 200 ms, so that two
/// lists show no progress before a run counts as stuck.
constexpr milliseconds min_stuck_time{450};

/// A run without progress for this many times its expected time is stuck.
constexpr int stuck_factor = 1;

/// A restart discards the work done so far, and its expected time is as
/// uncertain as that of the present run. It therefore has to be faster by this
/// factor.
constexpr double restart_gain = 2.0;

/// A run that takes longer than expected by this factor is on a slow endpoint.
/// Below it, the declared run time may just be too short, and a new run would
/// take as long: declared run times are off by 40 %, and the factor is beyond
/// two standard deviations, e^(2 x 0.4).
constexpr double slow_factor = 2.5;

/// Below this percentage the rate of progress can't be estimated.
constexpr int min_percent = 4;

} // namespace

duration remaining_time(placed_run const& run, time_point now)
{
    auto const taken = now - run.confirmed;
    if (run.percent < min_percent)
        return std::max(run.expected - taken, duration(0));
    auto const moved = run.progressed - run.confirmed;
    auto const whole = moved * 100 / run.percent;
    return std::max(whole - taken, duration(0));
}

progress judge_progress(placed_run const& run, duration restart, time_point now)
{
    auto const still = run.listed - std::max(run.progressed, run.confirmed);
    if (still > min_stuck_time && still > run.expected * stuck_factor)
        return progress::stuck;
    auto const remaining = remaining_time(run, now);
    auto const whole = now - run.confirmed + remaining;
    if (whole > run.expected * slow_factor && run.percent >= min_percent &&
        std::chrono::duration_cast<duration>(restart * restart_gain) <
            remaining)
        return progress::slow;
    return progress::as_expected;
}

} // namespace masticshift::dispatch
