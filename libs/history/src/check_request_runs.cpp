#include "call_index.hpp"
#include "findings.hpp"
#include "rule_checks.hpp"
#include "run_count.hpp"

namespace masticshift::history
{

namespace
{

void check_runs(std::vector<seen<run_started>> const& runs,
                std::string (*key_of)(task_name const&), findings& found)
{
    for (auto const& [key, group] : runs_by(runs, key_of))
    {
        found.examine();
        if (group.size() > 1)
            found.violate(
                key + " ran " + std::to_string(group.size()) + " times", group);
    }
}

} // namespace

rule_report check_request_runs(recorded_history const& history)
{
    auto const submissions = submissions_of(history);
    std::vector<seen<run_started>> idempotent;
    std::vector<seen<run_started>> other;
    for (auto const& run : collect<run_started>(history))
    {
        auto const known = submissions.find(run.what->task.id);
        if (known == submissions.end() ||
            known->second.kind != call_kind::request)
            continue;
        (known->second.idempotent ? idempotent : other).push_back(run);
    }
    findings found(rule::request_runs_once, history);
    check_runs(other, index_key, found);
    // A retry of an idempotent request is another attempt.
    check_runs(idempotent, to_string, found);
    return std::move(found).report();
}

} // namespace masticshift::history
