#ifndef MASTICSHIFT_LOAD_ARRIVAL_PROCESS_HPP
#define MASTICSHIFT_LOAD_ARRIVAL_PROCESS_HPP

#include "scenario.hpp"

#include <boost/random/mersenne_twister.hpp>

#include <optional>

namespace masticshift::load
{

/// Generates Poisson arrivals whose rate follows the phases of a scenario.
/// Deterministic: the same scenario gives the same arrivals.
class arrival_process
{
public:
    explicit arrival_process(scenario const& plan);

    /// Time of the next arrival, counted from the start of the run, or nothing
    /// after the last one.
    std::optional<duration> next();

private:
    double rate_at(double at_s) const;
    double next_change_after(double at_s) const;

    double base_rate_;
    std::vector<load_phase> phases_;
    double end_s_;
    boost::random::mt19937_64 random_;
    double at_s_ = 0;
};

} // namespace masticshift::load

#endif
