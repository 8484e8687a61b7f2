#ifndef REVIEW_STANDIN_3_CASES_HPP
#define REVIEW_STANDIN_3_CASES_HPP

#include "standin_deployment.hpp"

namespace review
{

/// How a case ended; the exit code of its script.
enum class verdict
{
    rule_held = 0,
    rule_broken = 1,
    not_run = 2
};

/// A job is cancelled, the entry that took the cancellation is restarted, and
/// the job's submission arrives once more.
asio::awaitable<verdict> cancelled_job_after_restart(deployment& system,
                                                     record& log, bool trouble);

/// A configuration drops the route of a running job, whose caller then cancels
/// it.
asio::awaitable<verdict>
cancelled_job_of_dropped_route(deployment& system, record& log, bool trouble);

/// Another writer puts an entry that lacks fields under the id of a worker that
/// drains.
asio::awaitable<verdict>
odd_entry_of_draining_worker(deployment& system, record& log, bool trouble);

/// Another writer puts an entry with another zone under the id of a worker,
/// which drains some time later.
asio::awaitable<verdict> odd_entry_with_another_zone(deployment& system,
                                                     record& log, bool trouble);

} // namespace review

#endif
