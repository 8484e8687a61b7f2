#include "call_index.hpp"
#include "report_builder.hpp"
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

std::vector<task_answer> sorted_by_task(std::vector<task_answer> answers)
{
    std::ranges::sort(answers, {}, &task_answer::task);
    return answers;
}

void check_call(call_trace const& call, report_builder& report)
{
    auto const& answered = *call.answered.content;
    if (!call.sent.origin)
    {
        report.add_violation(
            "an answer was received for a call that was not sent",
            {call.answered.origin});
        return;
    }
    auto const& sent = *call.sent.content;
    std::vector const evidence{call.sent.origin, call.answered.origin};
    // A call that is sent without an id gets an id from the entry.
    if (!sent.id.empty() && !answered.id.empty() && sent.id != answered.id)
        report.add_violation("call for " + sent.id +
                                 " received the answer of " + answered.id,
                             evidence);
    if (!echoes_inputs(sent, answered))
        report.add_violation("answer for " + answered.id +
                                 " does not echo the input of the call",
                             evidence);
}

/// Checks that all complete answers for an id are equal, whichever caller
/// received them and when.
class answer_comparison
{
public:
    explicit answer_comparison(report_builder& report) : report_(report)
    {
    }

    void add(typed_record<call_answered> answered)
    {
        if (answered.content->code != result_code::ok ||
            answered.content->id.empty())
            return;
        auto const [known, is_new] =
            first_.try_emplace(answered.content->id, answered);
        if (is_new)
            return;
        auto const& first = known->second;
        if (sorted_by_task(first.content->answers) !=
            sorted_by_task(answered.content->answers))
            report_.add_violation("two different answers for " +
                                      answered.content->id,
                                  {first.origin, answered.origin});
    }

private:
    report_builder& report_;
    std::unordered_map<std::string_view, typed_record<call_answered>> first_;
};

} // namespace

rule_report check_answer_ownership(recorded_history const& history)
{
    report_builder report(rule::answer_own, history);
    answer_comparison comparison(report);
    for (auto const& [key, call] : calls_of(history))
    {
        if (!call.answered.origin)
            continue;
        report.add_examined();
        check_call(call, report);
        comparison.add(call.answered);
    }
    return std::move(report).build();
}

} // namespace masticshift::history
