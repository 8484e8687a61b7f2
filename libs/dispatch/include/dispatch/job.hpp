#ifndef MASTICSHIFT_DISPATCH_JOB_HPP
#define MASTICSHIFT_DISPATCH_JOB_HPP

#include <core/time.hpp>
#include <dispatch/resources.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace masticshift::dispatch
{

/// Tasks of a job that have equal needs and may run concurrently.
struct job_step
{
    int task_count = 1;
    resources need;
    /// Rough run time of one task, as the caller declares it.
    milliseconds estimate{0};
    /// Label that an endpoint must carry. None when empty.
    std::string required_label;
    /// Rack that holds the data. Runs on other racks take longer.
    std::string preferred_rack;
    /// Largest number of concurrent tasks of this step on one endpoint. 0: no
    /// limit.
    int max_per_endpoint = 0;
    /// Numbers of the earlier steps that have to be done first.
    std::vector<int> after;
};

/// A job as the dispatcher sees it.
struct job_spec
{
    /// Chosen by the caller.
    std::string id;
    /// Passed to the endpoints unchanged.
    std::string payload;
    std::vector<job_step> steps;
    /// Name of the queue. Run times are learnt per queue.
    std::string queue;
    /// Endpoints of this service run the tasks.
    std::string service;
    /// 0 is the most urgent.
    int priority = 0;
    /// Number of failed runs of one task with which the job fails.
    int max_attempts = 1;
    /// The job should end within `slack_factor` times the expected time of its
    /// longest chain of steps plus `target_latency` (its objective).
    double slack_factor = 1;
    milliseconds target_latency{0};
    /// How long the caller waits for the answer.
    milliseconds caller_timeout{0};
    /// Refused with `busy_cell` unless all tasks of the steps without
    /// predecessors can start at once.
    bool only_if_idle = false;
    /// How long ago the entry received the job. The objective counts from then.
    milliseconds age{0};
    /// The entry numbers its submissions in ascending order.
    std::int64_t submission = 0;
};

/// How a job ended.
enum class job_end
{
    completed,
    /// A task failed `max_attempts` times, or crashed its endpoints.
    failed,
    /// No task has run or will run.
    refused,
    /// Tasks may have run. Their runs are stopped, or end with their leases.
    unknown,
    /// Its caller has cancelled it after a start was ordered. Its runs are
    /// stopped.
    cancelled
};

char const* name_of(job_end end);

/// Why a job ended as it did.
enum class end_reason
{
    none,
    attempts_exhausted,
    /// No known endpoint could run one of its tasks, even if idle.
    never_fits,
    /// It would have ended too late.
    overloaded,
    /// The entry that answers for the job is dead or has withdrawn it.
    withdrawn,
    /// The same id was submitted again.
    superseded,
    /// This process no longer dispatches the cell.
    not_dispatcher,
    /// Too many runs of a task were lost with their endpoints.
    endpoint_lost,
    /// The caller's timeout has passed.
    out_of_time,
    /// The cell could not start it at once; another cell is tried.
    busy_cell,
    /// Too many endpoints have crashed while they ran one of its tasks.
    endpoints_crashed,
    /// It was on its way for so long that its entry may have given it up.
    outdated,
    /// Its caller has cancelled it.
    cancelled,
    /// Nothing may be started in the data centre.
    evacuated,
    /// It gave way to a job that is costlier to delay.
    displaced
};

char const* name_of(end_reason reason);

struct job_result
{
    job_end end = job_end::unknown;
    end_reason reason = end_reason::none;
    /// How long to wait before a refused job is submitted again.
    milliseconds retry_after{0};
};

} // namespace masticshift::dispatch

#endif
