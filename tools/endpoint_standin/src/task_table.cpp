#include "task_table.hpp"

#include <vector>

namespace masticshift::endpoint_standin
{

task_table::task_table(task_table_limits limits) : limits_(limits)
{
}

std::size_t task_table::running() const
{
    return running_.size();
}

bool task_table::is_running(std::string const& task) const
{
    return running_.contains(task);
}

bool task_table::is_refused(std::string const& task) const
{
    return refused_.contains(task);
}

task_result const* task_table::result_of(std::string const& task) const
{
    auto const found = results_.find(task);
    return found == results_.end() ? nullptr : &found->second;
}

void task_table::start(std::string const& task, std::function<void()> stop)
{
    running_.emplace(task, std::move(stop));
}

void task_table::end(std::string const& task, task_result result)
{
    auto const found = running_.find(task);
    if (found != running_.end())
        running_.erase(found);
    auto const [position, is_new] =
        results_.insert_or_assign(task, std::move(result));
    if (!is_new)
        return;
    result_order_.push_back(task);
    if (result_order_.size() <= limits_.max_results)
        return;
    results_.erase(result_order_.front());
    result_order_.pop_front();
}

void task_table::refuse(std::string const& task)
{
    if (!refused_.insert(task).second)
        return;
    refusal_order_.push_back(task);
    if (refusal_order_.size() <= limits_.max_refusals)
        return;
    refused_.erase(refusal_order_.front());
    refusal_order_.pop_front();
}

void task_table::cancel(std::string const& task)
{
    if (!is_running(task) && !result_of(task))
    {
        refuse(task);
        return;
    }
    // Copied first, as stopping an attempt may change the table.
    std::vector<std::function<void()>> stops;
    auto const [first, last] = running_.equal_range(task);
    for (auto attempt = first; attempt != last; ++attempt)
        stops.push_back(attempt->second);
    for (auto const& stop : stops)
        stop();
}

} // namespace masticshift::endpoint_standin
