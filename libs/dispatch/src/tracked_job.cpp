#include "tracked_job.hpp"

#include <algorithm>

namespace masticshift::dispatch
{

namespace
{

std::string task_name(std::string const& id, int step, int index)
{
    // The second part is the number of a job's repetition, which is always 0.
    return id + ".0." + std::to_string(step) + "." + std::to_string(index);
}

bool is_unblocked(tracked_job const& job, int step)
{
    auto const& after = job.spec.steps[static_cast<std::size_t>(step)].after;
    return std::ranges::all_of(
        after,
        [&](int earlier)
        {
            return job.open_tasks_of_step[static_cast<std::size_t>(earlier)] ==
                   0;
        });
}

void unblock_tasks(tracked_job& job)
{
    for (auto& task : job.tasks)
    {
        if (task.phase != task_phase::blocked || !is_unblocked(job, task.step))
            continue;
        task.phase = task_phase::waiting;
        ++job.waiting_tasks;
    }
}

} // namespace

job_ptr make_job(job_spec spec, std::string origin, std::uint64_t number,
                 time_point now)
{
    auto job = std::make_shared<tracked_job>();
    job->number = number;
    job->spec = std::move(spec);
    job->origin = std::move(origin);
    job->accepted = now - job->spec.age;
    job->deadline = job->accepted + job->spec.caller_timeout;
    int step = 0;
    for (auto const& each : job->spec.steps)
    {
        for (int index = 0; index < each.task_count; ++index)
        {
            task_state task;
            task.step = step;
            task.index = index;
            task.name = task_name(job->spec.id, step, index);
            job->tasks.push_back(std::move(task));
        }
        job->open_tasks_of_step.push_back(each.task_count);
        job->open_tasks += each.task_count;
        ++step;
    }
    unblock_tasks(*job);
    return job;
}

void finish_task(tracked_job& job, task_state& task)
{
    task.phase = task_phase::done;
    --job.open_tasks;
    auto& open = job.open_tasks_of_step[static_cast<std::size_t>(task.step)];
    if (--open == 0 && job.open_tasks > 0)
        unblock_tasks(job);
}

} // namespace masticshift::dispatch
