#ifndef MASTICSHIFT_DISPATCH_PROGRESS_CHECK_HPP
#define MASTICSHIFT_DISPATCH_PROGRESS_CHECK_HPP

#include "endpoint_account.hpp"

namespace masticshift::dispatch
{

enum class progress
{
    as_expected,
    /// It moves, but another endpoint would end a new run sooner.
    slow,
    /// It has not moved for far longer than it should take.
    stuck
};

/// Judges a run that the endpoint has confirmed. `restart` is how long a new
/// run should take on the best endpoint that has room, or a long time.
progress judge_progress(placed_run const& run, duration restart,
                        time_point now);

/// How long the run should still take, from its percentage so far.
duration remaining_time(placed_run const& run, time_point now);

} // namespace masticshift::dispatch

#endif
