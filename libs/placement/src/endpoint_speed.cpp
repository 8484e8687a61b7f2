#include <placement/endpoint_speed.hpp>

#include <algorithm>
#include <cmath>

namespace masticshift::placement
{

namespace
{

// Runs that the starting value counts for, and runs that are remembered.
constexpr float prior_runs = 1;
constexpr float memory_runs = 40;
constexpr double min_speed = 0.01;
constexpr double max_speed = 100;
// One run far off, such as a straggler, counts no more than this.
constexpr double max_log_step = 1.5;

} // namespace

void endpoint_speed::learn(double log_residual)
{
    runs_ = std::min(runs_ + 1, memory_runs);
    double const bounded =
        std::clamp(log_residual, -max_log_step, max_log_step);
    rescale(std::exp(-bounded / (prior_runs + runs_)));
}

void endpoint_speed::rescale(double factor)
{
    value_ =
        static_cast<float>(std::clamp(value_ * factor, min_speed, max_speed));
}

} // namespace masticshift::placement
