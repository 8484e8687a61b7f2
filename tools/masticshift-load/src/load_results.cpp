#include "load_results.hpp"

namespace masticshift::load
{

load_results::load_results(scenario const& plan) : plan(plan)
{
    for (auto const& entry : plan.entries)
        entries.push_back({config::to_string(entry.address), 0, 0, {}});
    auto const whole_seconds =
        std::chrono::ceil<std::chrono::seconds>(plan.run_for).count();
    seconds.resize(static_cast<std::size_t>(whole_seconds) + 1);
}

void load_results::add(planned_job const& job, duration due, time_point start,
                       job_outcome const& outcome)
{
    ++jobs;
    bool const ok = is_ok(outcome);
    if (ok)
        tasks_ok += job.tasks.size();
    if (outcome.calls > 1)
        resubmissions += outcome.calls - 1;
    double const response = to_milliseconds(outcome.ended - (start + due));
    double const ideal = ideal_ms(job, plan.fastest_speed);
    double const ratio = response / ideal;
    auto const second = std::chrono::floor<std::chrono::seconds>(due).count();
    auto& row = seconds.at(static_cast<std::size_t>(second));
    ++row.due;
    row.ok += ok ? 1 : 0;
    row.slowdown_sum += ok ? ratio : 0;
    row.slowdown_max = std::max(row.slowdown_max, ok ? ratio : 0);
    if (due < plan.warm_up)
        return;
    ++ends[std::string(name_of(outcome))];
    auto& entry = entries.at(job.entry);
    ++entry.due;
    if (!ok)
        return;
    ++entry.ok;
    entry.response_ms.add(response);
    response_ms.add(response);
    slowdown.add(ratio);
    added_ms.add(response - ideal);
}

} // namespace masticshift::load
