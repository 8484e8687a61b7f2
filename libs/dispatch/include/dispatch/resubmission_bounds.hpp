#ifndef MASTICSHIFT_DISPATCH_RESUBMISSION_BOUNDS_HPP
#define MASTICSHIFT_DISPATCH_RESUBMISSION_BOUNDS_HPP

#include <core/time.hpp>

#include <algorithm>

namespace masticshift::dispatch
{

// Bounds of the steps from the moment at which a caller fails to the end of the
// last run of its submission. docs/PROOFS.md has a row for each step.

/// A caller that got no answer submits its job again after this time.
constexpr milliseconds resubmission_delay{1'300};

/// Time in which the end of a caller's connection arrives at its entry.
constexpr milliseconds caller_link_delay{5};

/// An entry whose event loop is later than this asks the operating system which
/// callers have gone before it sends a heartbeat.
constexpr milliseconds longest_loop_delay{20};

/// A job is wanted for this long after the reading of the dispatcher's clock
/// that the last heartbeat of its entry carried. Short enough to stop its runs
/// before its caller submits it again.
constexpr milliseconds longest_staleness{450};

/// How often a dispatcher looks for jobs that are no longer wanted.
constexpr milliseconds origin_check_interval{50};

/// Longest lease that is asked for.
constexpr milliseconds longest_useful_lease{700};

/// An endpoint that has not responded for this long gets no new work, and its
/// leases are no longer renewed. Two and a half times the longest wait of a
/// list, so that one lost response is not enough.
constexpr milliseconds unresponsive_after{500};

/// An endpoint's clock may run 2 % slow.
constexpr int slowest_clock_percent = 98;

/// Longest time in which a lease of this length ends.
constexpr milliseconds longest_lease_time(milliseconds length)
{
    constexpr int percent = 100;
    return (length * percent + milliseconds(slowest_clock_percent - 1)) /
           slowest_clock_percent;
}

/// From the end of a caller's connection to the end of the last run.
constexpr milliseconds longest_abandoned_run =
    caller_link_delay + longest_loop_delay + longest_staleness +
    origin_check_interval + longest_lease_time(longest_useful_lease);

static_assert(longest_abandoned_run < resubmission_delay,
              "two submissions of a job could run at once");

/// Length of the leases where an endpoint grants them for up to `granted`
/// (`bounds.hold_max_ms`).
constexpr milliseconds lease_within(milliseconds granted)
{
    return std::min(granted, longest_useful_lease);
}

} // namespace masticshift::dispatch

#endif
