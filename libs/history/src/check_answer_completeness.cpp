#include "call_index.hpp"
#include "findings.hpp"
#include "rule_checks.hpp"

#include <algorithm>

namespace masticshift::history
{

namespace
{

bool has_each_task_once(std::vector<task_answer> answers, std::size_t tasks)
{
    if (answers.size() != tasks)
        return false;
    std::ranges::sort(answers, {}, &task_answer::task);
    for (std::size_t i = 0; i < tasks; ++i)
    {
        if (answers[i].task != i)
            return false;
    }
    return true;
}

void check_call(call_trace const& call, findings& found)
{
    auto const& [at, answer] = call.answered;
    if (answer->code != result_code::ok)
    {
        if (!answer->answers.empty())
            found.violate("failed answer for " + answer->id + " has output",
                          {call.sent.at, at});
        return;
    }
    if (!has_each_task_once(answer->answers, call.sent.what->inputs.size()))
        found.violate("answer for " + answer->id +
                          " does not have each task once",
                      {call.sent.at, at});
    if (answer->ran != ran_state::ran)
        found.violate(
            "complete answer for " + answer->id + " denies that it ran", {at});
}

} // namespace

rule_report check_answer_completeness(recorded_history const& history)
{
    findings found(rule::answer_complete, history);
    for (auto const& [key, call] : calls_of(history))
    {
        if (!call.answered.at || !call.sent.at)
            continue;
        found.examine();
        check_call(call, found);
    }
    return std::move(found).report();
}

} // namespace masticshift::history
