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
    /// Steps before it are not done.
    blocked,
    waiting,
    placed,
    done
};

struct task_state
{
    int step = 0;
    int index = 0;
    /// As endpoints know it.
    std::string name;
    task_phase phase = task_phase::blocked;
    int failed_runs = 0;
    int lost_runs = 0;
    std::int64_t last_run = 0;
    /// Where it is placed.
    std::string endpoint;
};

struct tracked_job
{
    /// Tells apart two submissions of one id.
    std::uint64_t number = 0;
    job_spec spec;
    /// The process that answers for the job.
    std::string origin;
    time_point accepted;
    /// Answers later than this are worth less.
    time_point objective;
    /// Nobody waits for the answer after this.
    time_point abandoned;
    std::vector<task_state> tasks;
    std::vector<int> open_tasks_of_step;
    int open_tasks = 0;
    int waiting_tasks = 0;
    /// An order for a task of it was given out.
    bool offered = false;
    /// Whether the wait was checked before it becomes a late refusal.
    bool wait_checked = false;
    bool ended = false;
};

using job_ptr = std::shared_ptr<tracked_job>;

/// Makes the tasks of a job. Those without a step before them wait at once.
job_ptr make_job(job_spec spec, std::string origin, std::uint64_t number,
                 time_point now);

/// Counts a task as done and unblocks the steps that waited for it.
void finish_task(tracked_job& job, task_state& task);

} // namespace masticshift::dispatch

#endif
