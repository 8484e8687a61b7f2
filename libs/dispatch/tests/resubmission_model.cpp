// The run of a scenario, its callers, and its check.

#include "resubmission_model.hpp"

#include <algorithm>
#include <utility>

namespace masticshift::dispatch::testing
{

void resubmission_model::run(milliseconds length)
{
    for (auto const end = now_ + length; now_ < end && twice_.empty();
         now_ += step)
    {
        begin_faults();
        drive_callers();
        deliver_messages();
        for (auto& each : entries_)
            drive(each);
        for (auto& each : dispatchers_)
            drive(each);
        check();
    }
}

std::string resubmission_model::history() const
{
    std::string lines;
    for (auto const& [about, line] : events_)
    {
        if (about.empty() || twice_.starts_with(about))
            lines += line + "\n";
    }
    return twice_ + "\n" + lines;
}

resubmission_model::counts resubmission_model::totals() const
{
    auto all = counts_;
    for (auto const& each : dispatchers_)
    {
        for (auto const& endpoint : each.endpoints)
            all.starts += endpoint.model.starts().size();
    }
    return all;
}

void resubmission_model::record(std::string const& about,
                                std::string const& what)
{
    events_.emplace_back(about, std::to_string(static_cast<std::int64_t>(
                                    to_milliseconds(now_ - time_point{}))) +
                                    " " + about + " " + what);
}

void resubmission_model::resubmit_later(caller const& from)
{
    record(from.job, "caller gone");
    resubmit_at_[from.job] = {now_ + resubmission_delay, from.dispatcher};
}

void resubmission_model::drive_callers()
{
    if (open_jobs_.size() < most_jobs && chance(30))
    {
        auto const job = "job" + std::to_string(next_job_++);
        open_jobs_.insert(job);
        submit(job, {});
    }
    for (auto& each : entries_)
    {
        for (auto& waiting : each.callers)
        {
            if (waiting.gone || now_ < waiting.leaves)
                continue;
            waiting.gone = true;
            resubmit_later(waiting);
        }
    }
    for (auto each = resubmit_at_.begin(); each != resubmit_at_.end();)
    {
        auto const next = std::next(each);
        if (now_ >= each->second.first)
        {
            ++counts_.resubmissions;
            auto const [job, plan] = *each;
            resubmit_at_.erase(each);
            if (chance(30))
                open_jobs_.erase(job);
            else
                submit(job, plan.second);
        }
        each = next;
    }
}

void resubmission_model::submit(std::string const& job, std::string const& last)
{
    ++counts_.submissions;
    auto& through =
        entries_[static_cast<std::size_t>(pick(0, entry_count - 1))];
    auto const first = static_cast<std::size_t>(pick(0, 1));
    auto const chosen = dispatchers_[first].address == last ? 1 - first : first;
    caller added;
    added.job = job;
    added.number = ++submissions_;
    added.dispatcher = dispatchers_[chosen].address;
    added.leaves = now_ + pick_time(milliseconds(10), longest_visit);
    record(job,
           "submitted through " + through.address + " to " + added.dispatcher);
    through.roster->begin_job_at(added.dispatcher);
    send_submission(through, added);
    through.callers.push_back(std::move(added));
}

void resubmission_model::check()
{
    std::set<std::string> seen;
    for (auto& each : dispatchers_)
    {
        for (auto& endpoint : each.endpoints)
        {
            for (auto const& task :
                 endpoint.model.running_tasks(clock(endpoint)))
            {
                if (!seen.insert(task).second && twice_.empty())
                {
                    twice_ = task;
                    record({}, task + " runs twice");
                }
            }
        }
    }
}

} // namespace masticshift::dispatch::testing
