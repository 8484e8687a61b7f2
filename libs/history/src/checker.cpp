#include <history/checker.hpp>

#include "rule_checks.hpp"

namespace masticshift::history
{

std::array<rule_info, rule_count> const& rules()
{
    static constexpr std::array<rule_info, rule_count> table{{
        {rule::task_starts_once, "task_starts_once",
         "Each task of an id starts at most once, by one process."},
        {rule::answer_complete, "answer_complete",
         "An answer either has each task once, or has failed and has no "
         "output."},
        {rule::answer_own, "answer_own",
         "Each call gets the answer to its own input, the same for each call "
         "of an id."},
        {rule::not_run_true, "not_run_true",
         "No task of an id that was answered as not run ever starts."},
        {rule::request_runs_once, "request_runs_once",
         "A request runs at most once, an idempotent request at most once for "
         "each attempt."},
        {rule::leaving_endpoint_spared, "leaving_endpoint_spared",
         "No task starts at an endpoint that has been leaving for longer than "
         "the bound."},
        {rule::graceful_stop, "graceful_stop",
         "No call that was sent before admission closed is aborted by a "
         "graceful stop."},
        {rule::configuration_in_force, "configuration_in_force",
         "Committed revisions are consecutive, in force at each entry within "
         "the bound, and never replaced by a lower one."},
    }};
    return table;
}

bool holds(rule_report const& report)
{
    return report.violations.empty() && report.examined >= report.required;
}

std::vector<rule_report> check(recorded_history const& history,
                               check_options const& options)
{
    std::vector<rule_report> reports;
    reports.push_back(check_task_starts(history));
    reports.push_back(check_answer_completeness(history));
    reports.push_back(check_answer_ownership(history));
    reports.push_back(check_refusals(history));
    reports.push_back(check_request_runs(history));
    reports.push_back(check_leaving_endpoints(history, options.leaving_bound));
    reports.push_back(check_graceful_stops(history));
    reports.push_back(
        check_configuration(history, options.configuration_bound));
    for (std::size_t i = 0; i < reports.size(); ++i)
        reports[i].required = options.minimum_examined.at(i);
    return reports;
}

} // namespace masticshift::history
