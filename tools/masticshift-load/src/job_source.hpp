#ifndef MASTICSHIFT_LOAD_JOB_SOURCE_HPP
#define MASTICSHIFT_LOAD_JOB_SOURCE_HPP

#include "scenario.hpp"

#include <boost/json/value.hpp>
#include <boost/random/mersenne_twister.hpp>

#include <vector>

namespace masticshift::load
{

struct planned_task
{
    boost::json::value input;
    /// Run time at an endpoint of speed 1.
    double run_ms = 0;
    /// 0: no size is declared.
    double declared_size = 0;
};

struct planned_job
{
    /// Unique in this run, from 0.
    std::uint64_t number = 0;
    /// Index into the entries of the scenario.
    std::size_t entry = 0;
    std::vector<planned_task> tasks;
};

/// Run time of the longest task at the fastest endpoint, in milliseconds.
double ideal_ms(planned_job const& job, double fastest_speed);

/// Draws random jobs. Deterministic: the same scenario gives the same jobs.
class job_source
{
public:
    explicit job_source(scenario const& plan);

    planned_job next();

private:
    planned_task draw_task();
    double draw_run_ms();
    double draw_size(double run_ms);
    std::size_t draw_entry();

    scenario const& plan_;
    boost::random::mt19937_64 random_;
    std::uint64_t jobs_ = 0;
};

} // namespace masticshift::load

#endif
