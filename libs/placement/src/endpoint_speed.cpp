#include <placement/endpoint_speed.hpp>

#include <algorithm>
#include <cmath>

namespace masticshift::placement
{

namespace
{

// Weight of the initial speed, in runs, and the number of runs after which a
// new run's weight no longer falls.
constexpr float prior_runs = 1;
constexpr float max_weighted_runs = 40;
constexpr double min_speed = 0.01;
constexpr double max_speed = 100;
// Bound on the effect of a single outlier, such as a straggler.
constexpr double max_log_step = 1.5;

} // namespace

void endpoint_speed::learn(double log_residual)
{
    runs_ = std::min(runs_ + 1, max_weighted_runs);
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
