#ifndef MASTICSHIFT_DISPATCH_TRACKED_JOB_HPP
#define MASTICSHIFT_DISPATCH_TRACKED_JOB_HPP

#include <dispatch/job.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace masticshift::dispatch
{

enum class task_phase
{
    /// A step that must be done before the step of this task is not done yet.
    blocked,
    waiting,
    placed,
    done
};

struct task_state
{
    int step = 0;
    int index = 0;
    /// Id of the task at the endpoints.
    std::string name;
    task_phase phase = task_phase::blocked;
    int failed_runs = 0;
    int lost_runs = 0;
    /// Number of runs that were stopped because they made no progress.
    int stuck_runs = 0;
    /// A run was stopped because a new one was expected to end sooner.
    bool restarted_as_slow = false;
    std::int64_t last_run = 0;
    /// Endpoint on which it is placed.
    std::string endpoint;
    /// Endpoint on which its last run was slow or stuck.
    std::string avoided;
};

struct tracked_job
{
    /// Distinguishes submissions of the same id.
    std::uint64_t number = 0;
    job_spec spec;
    /// The entry that answers the caller.
    std::string origin;
    time_point accepted;
    /// Time by which the job should end.
    time_point objective;
    /// The caller stops waiting for the answer at this time.
    time_point deadline;
    std::vector<task_state> tasks;
    std::vector<int> open_tasks_of_step;
    int open_tasks = 0;
    int waiting_tasks = 0;
    /// A start was ordered for at least one of its tasks.
    bool start_ordered = false;
    /// The expected wait was checked again while the job was waiting.
    bool wait_checked = false;
    bool ended = false;
};

using job_ptr = std::shared_ptr<tracked_job>;

/// Creates a job and its tasks. Tasks of steps without predecessors are
/// `waiting`, the others `blocked`.
job_ptr make_job(job_spec spec, std::string origin, std::uint64_t number,
                 time_point now);

/// Marks a task as done and unblocks the tasks that depended on its step.
void finish_task(tracked_job& job, task_state& task);

} // namespace masticshift::dispatch

#endif
