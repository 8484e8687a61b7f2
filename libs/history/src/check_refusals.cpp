#include "findings.hpp"
#include "rule_checks.hpp"
#include "seen.hpp"

#include <unordered_map>

namespace masticshift::history
{

namespace
{

/// First record for each id that says that it did not run.
using refusal_index = std::unordered_map<std::string_view, record const*>;

template <class Event>
void add_refusals(recorded_history const& history, refusal_index& refusals)
{
    for (auto const& said : collect<Event>(history))
    {
        if (said.what->ran == ran_state::not_run && !said.what->id.empty())
            refusals.try_emplace(said.what->id, said.at);
    }
}

} // namespace

rule_report check_refusals(recorded_history const& history)
{
    refusal_index refusals;
    add_refusals<call_answered>(history, refusals);
    add_refusals<job_refused>(history, refusals);
    add_refusals<job_answered>(history, refusals);
    findings found(rule::not_run_true, history);
    found.examine(refusals.size());
    for (auto const& run : collect<run_started>(history))
    {
        auto const refused = refusals.find(run.what->task.id);
        if (refused != refusals.end())
            found.violate(to_string(run.what->task) +
                              " started, though the id was refused as not run",
                          {refused->second, run.at});
    }
    return std::move(found).report();
}

} // namespace masticshift::history
