#include "call_index.hpp"
#include "findings.hpp"
#include "rule_checks.hpp"

#include <algorithm>

namespace masticshift::history
{

namespace
{

bool echoes_inputs(call_sent const& sent, call_answered const& answered)
{
    return std::ranges::all_of(answered.answers,
                               [&](task_answer const& answer)
                               {
                                   return answer.task < sent.inputs.size() &&
                                          sent.inputs[answer.task] ==
                                              answer.echo;
                               });
}

std::vector<task_answer> in_order(std::vector<task_answer> answers)
{
    std::ranges::sort(answers, {}, &task_answer::task);
    return answers;
}

void check_own(call_trace const& call, findings& found)
{
    auto const& answered = *call.answered.what;
    if (!call.sent.at)
    {
        found.violate("answer to a call that was not sent", {call.answered.at});
        return;
    }
    auto const& sent = *call.sent.what;
    std::vector const shown{call.sent.at, call.answered.at};
    // Without an id of its own a call gets the one that the entry forms.
    if (!sent.id.empty() && !answered.id.empty() && sent.id != answered.id)
        found.violate(
            "call for " + sent.id + " got the answer of " + answered.id, shown);
    if (!echoes_inputs(sent, answered))
        found.violate("answer for " + answered.id +
                          " does not belong to the input",
                      shown);
}

/// Complete answers for one id are the same, whoever asks and when.
class answer_comparison
{
public:
    explicit answer_comparison(findings& found) : found_(found)
    {
    }

    void add(seen<call_answered> answered)
    {
        if (answered.what->code != result_code::ok || answered.what->id.empty())
            return;
        auto const [known, is_new] =
            first_.try_emplace(answered.what->id, answered);
        if (is_new)
            return;
        auto const& first = known->second;
        if (in_order(first.what->answers) != in_order(answered.what->answers))
            found_.violate("two different answers for " + answered.what->id,
                           {first.at, answered.at});
    }

private:
    findings& found_;
    std::unordered_map<std::string_view, seen<call_answered>> first_;
};

} // namespace

rule_report check_answer_ownership(recorded_history const& history)
{
    findings found(rule::answer_own, history);
    answer_comparison comparison(found);
    for (auto const& [key, call] : calls_of(history))
    {
        if (!call.answered.at)
            continue;
        found.examine();
        check_own(call, found);
        comparison.add(call.answered);
    }
    return std::move(found).report();
}

} // namespace masticshift::history
