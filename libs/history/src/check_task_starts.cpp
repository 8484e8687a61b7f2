#include "call_index.hpp"
#include "incarnation.hpp"
#include "report_builder.hpp"
#include "rule_checks.hpp"
#include "run_groups.hpp"

namespace masticshift::history
{

namespace
{

/// Runs of all ids, except those that a caller submitted as a single request.
std::vector<typed_record<run_started>>
runs_of_jobs(recorded_history const& history)
{
    auto const submissions = submissions_of(history);
    auto runs = collect<run_started>(history);
    std::erase_if(runs,
                  [&](auto const& run)
                  {
                      auto const known = submissions.find(run.content->task.id);
                      return known != submissions.end() &&
                             known->second.kind == call_kind::request;
                  });
    return runs;
}

/// Checks that the tasks of each id were started by one process only, the home
/// of the id.
void check_single_home(recorded_history const& history, report_builder& report)
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
            auto const& id = start.content->task.id;
            auto const [known, is_new] =
                homes.try_emplace(id, home{&process, start.origin});
            if (!is_new && known->second.process != &process)
                report.add_violation("tasks of " + id +
                                         " were started by two processes",
                                     {known->second.start, start.origin});
        }
    }
    report.add_examined(homes.size());
}

} // namespace

rule_report check_task_starts(recorded_history const& history)
{
    report_builder report(rule::task_starts_once, history);
    for (auto const& [task, runs] :
         group_runs_by(runs_of_jobs(history), task_key))
    {
        report.add_examined();
        if (runs.size() > 1)
            report.add_violation(task + " started " +
                                     std::to_string(runs.size()) + " times",
                                 runs);
    }
    check_single_home(history, report);
    return std::move(report).build();
}

} // namespace masticshift::history
