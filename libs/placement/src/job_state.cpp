#include "job_state.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace masticshift::placement
{

job_state::job_state(std::uint64_t number, service_state& job_service,
                     std::vector<task_state> job_tasks, bool longest_first)
    : id(number),
      service(job_service),
      tasks(std::move(job_tasks)),
      order_(tasks.size()),
      end_(static_cast<std::uint32_t>(tasks.size()))
{
    std::iota(order_.begin(), order_.end(), 0U);
    if (longest_first)
        std::ranges::stable_sort(order_, std::greater{},
                                 [this](auto i)
                                 {
                                     return tasks[i].work;
                                 });
    for (auto const& task : tasks)
        remaining += task.work;
}

std::uint32_t job_state::first() const
{
    return requeued_.empty() ? order_[begin_] : requeued_.back();
}

std::uint32_t job_state::last() const
{
    return begin_ == end_ ? requeued_.front() : order_[end_ - 1];
}

void job_state::start(std::uint32_t task)
{
    if (auto const found = std::ranges::find(requeued_, task);
        found != requeued_.end())
        requeued_.erase(found);
    else if (order_[begin_] == task)
        ++begin_;
    else
        --end_;
    tasks[task].phase = task_phase::running;
    remaining -= tasks[task].work;
    ++running;
}

void job_state::requeue(std::uint32_t task)
{
    auto const work_of = [this](std::uint32_t i)
    {
        return tasks[i].work;
    };
    auto const at =
        std::ranges::upper_bound(requeued_, tasks[task].work, {}, work_of);
    requeued_.insert(at, task);
    tasks[task].phase = task_phase::queued;
    remaining += tasks[task].work;
}

std::uint32_t job_state::drop_queued()
{
    auto const dropped = queued();
    for (auto& task : tasks)
    {
        if (task.phase == task_phase::queued)
            task.phase = task_phase::ended;
    }
    begin_ = end_;
    requeued_.clear();
    remaining = 0;
    return dropped;
}

} // namespace masticshift::placement
