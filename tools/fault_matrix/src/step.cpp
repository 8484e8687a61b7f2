#include "step.hpp"

#include <array>

namespace masticshift::fault_matrix
{

namespace
{

using history::rule;

constexpr std::array table{
    step_info{step::submit, "submit", observer::caller, "call_sent",
              rule::answer_own},
    step_info{step::admit, "admit", observer::entry, "job_admitted",
              rule::not_run_true},
    step_info{step::place, "place", observer::entry, "slots_borrowed",
              rule::task_starts_once},
    step_info{step::start, "start", observer::entry, "task_started",
              rule::request_runs_once},
    step_info{step::answer, "answer", observer::endpoint, "run_ended",
              rule::answer_complete},
    step_info{step::resubmit, "resubmit", observer::entry, "call_routed",
              rule::task_starts_once},
    step_info{step::apply, "apply", observer::platform, "committed",
              rule::configuration_in_force},
    step_info{step::drain, "drain", observer::entry, "admission_closed",
              rule::graceful_stop},
    step_info{step::hand_over, "hand_over", observer::entry, "handover_taken",
              rule::graceful_stop}};

} // namespace

std::span<step_info const> steps()
{
    return table;
}

step_info const& info_of(step kind)
{
    return table.at(static_cast<std::size_t>(kind));
}

bool needs_drain(step kind)
{
    return kind == step::drain || kind == step::hand_over;
}

} // namespace masticshift::fault_matrix
