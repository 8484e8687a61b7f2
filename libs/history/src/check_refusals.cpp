#include "report_builder.hpp"
#include "rule_checks.hpp"
#include "typed_record.hpp"

#include <unordered_map>

namespace masticshift::history
{

namespace
{

/// For each id, the first record that reports it as not run.
using refusal_index = std::unordered_map<std::string_view, record const*>;

template <class Event>
void add_refusals(recorded_history const& history, refusal_index& refusals)
{
    for (auto const& each : collect<Event>(history))
    {
        if (each.content->ran == ran_state::not_run &&
            !each.content->id.empty())
            refusals.try_emplace(each.content->id, each.origin);
    }
}

} // namespace

rule_report check_refusals(recorded_history const& history)
{
    refusal_index refusals;
    add_refusals<call_answered>(history, refusals);
    add_refusals<job_refused>(history, refusals);
    add_refusals<job_answered>(history, refusals);
    report_builder report(rule::not_run_true, history);
    report.add_examined(refusals.size());
    for (auto const& run : collect<run_started>(history))
    {
        auto const refused = refusals.find(run.content->task.id);
        if (refused != refusals.end())
            report.add_violation(
                to_string(run.content->task) +
                    " started although its id was reported as not run",
                {refused->second, run.origin});
    }
    return std::move(report).build();
}

} // namespace masticshift::history
