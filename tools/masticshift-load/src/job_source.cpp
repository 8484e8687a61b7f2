#include "job_source.hpp"

#include <boost/random/discrete_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>
#include <cmath>

namespace masticshift::load
{

namespace
{

namespace random = boost::random;

/// Mixed into the seed so that the random numbers of the jobs are independent
/// of those of the arrivals, which use the seed itself.
constexpr std::uint64_t job_stream = 0x9e3779b97f4a7c15;

} // namespace

double ideal_ms(planned_job const& job, double fastest_speed)
{
    double longest = 0;
    for (auto const& task : job.tasks)
        longest = std::max(longest, task.run_ms);
    return longest / fastest_speed;
}

job_source::job_source(scenario const& plan)
    : plan_(plan), random_(plan.seed ^ job_stream)
{
}

planned_job job_source::next()
{
    planned_job job;
    job.number = jobs_++;
    job.entry = draw_entry();
    for (unsigned i = 0; i < plan_.tasks_per_job; ++i)
    {
        auto task = draw_task();
        // Inputs are distinct, so that the answer of another task is detected.
        task.input = {{"run_ms", std::llround(task.run_ms)},
                      {"job", job.number},
                      {"task", i}};
        job.tasks.push_back(std::move(task));
    }
    return job;
}

planned_task job_source::draw_task()
{
    planned_task task;
    task.run_ms = draw_run_ms();
    task.declared_size = draw_size(task.run_ms);
    return task;
}

double job_source::draw_run_ms()
{
    auto const& spec = plan_.run_time;
    double drawn = spec.mean_ms;
    if (spec.shape == run_time_shape::uniform)
        drawn = random::uniform_real_distribution<double>(
            spec.min_ms, std::max(spec.min_ms + 1, spec.max_ms))(random_);
    else if (spec.shape == run_time_shape::exponential)
        drawn =
            random::exponential_distribution<double>(1 / spec.mean_ms)(random_);
    else if (spec.shape == run_time_shape::log_normal)
        drawn = random::lognormal_distribution<double>(
            std::log(spec.mean_ms) - spec.sigma * spec.sigma / 2,
            spec.sigma)(random_);
    // Endpoints accept whole milliseconds only.
    return std::round(std::clamp(drawn, spec.min_ms, spec.max_ms));
}

double job_source::draw_size(double run_ms)
{
    auto const& spec = plan_.run_time;
    if (spec.declared_unit_ms <= 0)
        return 0;
    double const spread = std::log(spec.declared_error);
    double const error = spread > 0 ? random::uniform_real_distribution<double>(
                                          -spread, spread)(random_)
                                    : 0;
    return run_ms / spec.declared_unit_ms * std::exp(error);
}

std::size_t job_source::draw_entry()
{
    std::vector<double> weights;
    for (auto const& entry : plan_.entries)
        weights.push_back(entry.weight);
    return random::discrete_distribution<std::size_t, double>(weights)(random_);
}

} // namespace masticshift::load
