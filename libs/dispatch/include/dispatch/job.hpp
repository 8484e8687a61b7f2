#ifndef MASTICSHIFT_DISPATCH_JOB_HPP
#define MASTICSHIFT_DISPATCH_JOB_HPP

#include <core/time.hpp>
#include <dispatch/resources.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace masticshift::dispatch
{

/// Tasks of a job that are alike and may run side by side.
struct job_step
{
    int task_count = 1;
    resources need;
    /// Rough run time of one task, as the caller declares it.
    milliseconds estimate{0};
    /// Label that an endpoint must carry. None when empty.
    std::string required_label;
    /// Rack that holds the data. Other racks take longer.
    std::string preferred_rack;
    /// Tasks of this step on one endpoint, at most. 0: no limit.
    int max_per_endpoint = 0;
    /// Numbers of the steps that have to be done before.
    std::vector<int> after;
};

/// A job as the dispatcher sees it.
struct job_spec
{
    /// Chosen by the caller.
    std::string id;
    /// Passed to the endpoints as it is.
    std::string payload;
    std::vector<job_step> steps;
    /// Name of the queue, for the statistics of its run times.
    std::string queue;
    /// Endpoints of this service run the tasks.
    std::string service;
    /// 0 is the most urgent.
    int priority = 0;
    /// Failed runs of one task until the job has failed.
    int max_attempts = 1;
    /// The objective is this many times the longest chain of work, and
    /// `target_latency` more.
    double slack_factor = 1;
    milliseconds target_latency{0};
    /// How long the caller waits for the answer.
    milliseconds caller_timeout{0};
    /// Refused with `busy_cell` unless all its first tasks can start at once.
    bool only_if_idle = false;
    /// How long ago the entry took the job. The objective counts from then.
    milliseconds age{0};
};

/// How a job ended.
enum class job_end
{
    completed,
    /// A task failed too often.
    failed,
    /// Nothing ran and nothing will.
    refused,
    /// Something may have run. All of it is stopped or stops by itself.
    unknown
};

char const* name_of(job_end end);

/// Why a job ended as it did.
enum class end_reason
{
    none,
    attempts_exhausted,
    /// No configured endpoint could ever run a task of it.
    never_fits,
    /// It could not have ended in time.
    overloaded,
    /// The process that answers for the job is gone or has withdrawn it.
    withdrawn,
    /// The same id was submitted again.
    superseded,
    /// This process no longer dispatches.
    not_dispatcher,
    /// The endpoint that ran a task was lost, too often.
    endpoint_lost,
    out_of_time,
    /// Another cell should have it.
    busy_cell
};

char const* name_of(end_reason reason);

struct job_result
{
    job_end end = job_end::unknown;
    end_reason reason = end_reason::none;
    /// When a refused job should be submitted again.
    milliseconds retry_after{0};
};

} // namespace masticshift::dispatch

#endif
