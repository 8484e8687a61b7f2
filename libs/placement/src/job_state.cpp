#include "job_state.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace masticshift::placement
{

job_state::job_state(std::uint64_t number, service_state& owner,
                     std::vector<task_state> all, bool longest_first)
    : id(number),
      service(owner),
      tasks(std::move(all)),
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
    return returned_.empty() ? order_[begin_] : returned_.back();
}

std::uint32_t job_state::last() const
{
    return begin_ == end_ ? returned_.front() : order_[end_ - 1];
}

void job_state::take(std::uint32_t task)
{
    if (auto const found = std::ranges::find(returned_, task);
        found != returned_.end())
        returned_.erase(found);
    else if (order_[begin_] == task)
        ++begin_;
    else
        --end_;
    tasks[task].phase = task_phase::running;
    remaining -= tasks[task].work;
    ++running;
}

void job_state::put_back(std::uint32_t task)
{
    auto const work_of = [this](std::uint32_t i)
    {
        return tasks[i].work;
    };
    auto const at =
        std::ranges::upper_bound(returned_, tasks[task].work, {}, work_of);
    returned_.insert(at, task);
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
    returned_.clear();
    remaining = 0;
    return dropped;
}

} // namespace masticshift::placement
