#ifndef MASTICSHIFT_DISPATCH_PROGRESS_CHECK_HPP
#define MASTICSHIFT_DISPATCH_PROGRESS_CHECK_HPP

#include "endpoint_account.hpp"

namespace masticshift::dispatch
{

enum class progress
{
    as_expected,
    /// It makes progress, but a new run on another endpoint would end sooner.
    slow,
    /// It has made no progress for longer than its expected run time.
    stuck
};

/// Rates a run that the endpoint has confirmed, by its last list: that no list
/// arrived says nothing about the run. `restart` is the expected time
/// of a new run on the best endpoint with free capacity, or a very long time if
/// there is none.
progress judge_progress(placed_run const& run, duration restart,
                        time_point now);

/// Expected remaining time of the run, extrapolated from its percentage so far.
duration remaining_time(placed_run const& run, time_point now);

} // namespace masticshift::dispatch

#endif
