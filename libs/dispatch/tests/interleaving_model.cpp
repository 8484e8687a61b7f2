// The run of a scenario, and its check.

#include "interleaving_model.hpp"

#include <algorithm>
#include <utility>

namespace masticshift::dispatch::testing
{

void interleaving_model::run(milliseconds length)
{
    for (auto const end = now_ + length; now_ < end && !ran_twice();
         now_ += step)
    {
        maybe_submit();
        maybe_fail_dispatcher();
        maybe_crash_endpoint();
        maybe_fail_link();
        maybe_kill_entry();
        deliver_late_orders();
        deliver_records();
        deliver_submissions();
        for (auto& cell : cells_)
            drive_cell(cell);
        check();
    }
}

std::string interleaving_model::history() const
{
    std::string lines;
    for (auto const& [task, line] : events_)
    {
        if (task.empty() || task == twice_)
            lines += line + "\n";
    }
    return twice_ + "\n" + lines;
}

interleaving_model::counts interleaving_model::totals() const
{
    auto all = counts_;
    for (auto const& endpoint : endpoints_)
        all.starts += endpoint.model.starts().size();
    return all;
}

void interleaving_model::record(std::string const& task,
                                std::string const& what)
{
    events_.emplace_back(task, std::to_string(static_cast<std::int64_t>(
                                   to_milliseconds(now_ - time_point{}))) +
                                   " " + what);
}

void interleaving_model::check()
{
    std::set<std::string> seen;
    for (auto& endpoint : endpoints_)
    {
        for (auto const& task : endpoint.model.running_tasks(clock(endpoint)))
        {
            if (!seen.insert(task).second && twice_.empty())
            {
                twice_ = task;
                record(task, "runs twice");
            }
        }
    }
}

} // namespace masticshift::dispatch::testing
