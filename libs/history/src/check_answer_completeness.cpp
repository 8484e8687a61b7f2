#include "call_index.hpp"
#include "report_builder.hpp"
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

void check_call(call_trace const& call, report_builder& report)
{
    auto const& [origin, answer] = call.answered;
    if (answer->code != result_code::ok)
    {
        if (!answer->answers.empty())
            report.add_violation("failed answer for " + answer->id +
                                     " has output",
                                 {call.sent.origin, origin});
        return;
    }
    if (!has_each_task_once(answer->answers, call.sent.content->inputs.size()))
        report.add_violation("answer for " + answer->id +
                                 " does not contain each task exactly once",
                             {call.sent.origin, origin});
    if (answer->ran != ran_state::ran)
        report.add_violation("complete answer for " + answer->id +
                                 " does not report that the job ran",
                             {origin});
}

} // namespace

rule_report check_answer_completeness(recorded_history const& history)
{
    report_builder report(rule::answer_complete, history);
    for (auto const& [key, call] : calls_of(history))
    {
        if (!call.answered.origin || !call.sent.origin)
            continue;
        report.add_examined();
        check_call(call, report);
    }
    return std::move(report).build();
}

} // namespace masticshift::history
