#include "call_index.hpp"
#include "report_builder.hpp"
#include "rule_checks.hpp"
#include "run_groups.hpp"

namespace masticshift::history
{

namespace
{

void check_runs(std::vector<typed_record<run_started>> const& runs,
                std::string (*key_of)(attempt_name const&),
                report_builder& report)
{
    for (auto const& [key, group] : group_runs_by(runs, key_of))
    {
        report.add_examined();
        if (group.size() > 1)
            report.add_violation(
                key + " ran " + std::to_string(group.size()) + " times", group);
    }
}

} // namespace

rule_report check_request_runs(recorded_history const& history)
{
    auto const submissions = submissions_of(history);
    std::vector<typed_record<run_started>> idempotent;
    std::vector<typed_record<run_started>> other;
    for (auto const& run : collect<run_started>(history))
    {
        auto const known = submissions.find(run.content->task.id);
        if (known == submissions.end() ||
            known->second.kind != call_kind::request)
            continue;
        (known->second.idempotent ? idempotent : other).push_back(run);
    }
    report_builder report(rule::request_runs_once, history);
    check_runs(other, task_key, report);
    // An idempotent request is retried under a new attempt number, so each
    // attempt may run once.
    check_runs(idempotent, to_string, report);
    return std::move(report).build();
}

} // namespace masticshift::history
