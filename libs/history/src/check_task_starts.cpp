#include "call_index.hpp"
#include "findings.hpp"
#include "incarnation.hpp"
#include "rule_checks.hpp"
#include "run_count.hpp"

namespace masticshift::history
{

namespace
{

/// Runs whose id is not known to be that of a single request.
std::vector<seen<run_started>> runs_of_jobs(recorded_history const& history)
{
    auto const submissions = submissions_of(history);
    auto runs = collect<run_started>(history);
    std::erase_if(runs,
                  [&](auto const& run)
                  {
                      auto const known = submissions.find(run.what->task.id);
                      return known != submissions.end() &&
                             known->second.kind == call_kind::request;
                  });
    return runs;
}

/// Only the process that an id names may start its tasks.
void check_single_home(recorded_history const& history, findings& found)
{
    struct home
    {
        incarnation const* process;
        record const* start;
    };
    std::unordered_map<std::string_view, home> homes;
    auto const processes = incarnations_of(history);
    for (auto const& process : processes)
    {
        for (auto const& start : process.starts)
        {
            auto const& id = start.what->task.id;
            auto const [known, is_new] =
                homes.try_emplace(id, home{&process, start.at});
            if (!is_new && known->second.process != &process)
                found.violate("tasks of " + id + " started by two processes",
                              {known->second.start, start.at});
        }
    }
    found.examine(homes.size());
}

} // namespace

rule_report check_task_starts(recorded_history const& history)
{
    findings found(rule::task_starts_once, history);
    for (auto const& [task, runs] : runs_by(runs_of_jobs(history), index_key))
    {
        found.examine();
        if (runs.size() > 1)
            found.violate(task + " started " + std::to_string(runs.size()) +
                              " times",
                          runs);
    }
    check_single_home(history, found);
    return std::move(found).report();
}

} // namespace masticshift::history
