#include <placement/run_time_model.hpp>

#include <algorithm>
#include <cmath>

namespace masticshift::placement
{

namespace
{

// Weight of the declared run time, in runs.
constexpr double prior_runs = 4;
// Number of runs after which a new run's weight no longer falls, so that older
// runs decay.
constexpr double max_weighted_runs = 500;
// Weight of the initial size trust of 1, as a variance of log sizes.
constexpr double prior_size_variance = 0.05;
constexpr float min_size = 1e-3F;
constexpr float max_size = 1e3F;
constexpr double min_seconds = 1e-5;
// Bound on the logarithm of the factor by which a task's size changes its
// prediction.
constexpr double max_log_offset = 7;

double seconds_of(duration length)
{
    return std::chrono::duration<double>(length).count();
}

} // namespace

run_time_model::run_time_model(duration declared)
    : mean_y_(std::log(std::max(seconds_of(declared), min_seconds)))
{
}

float run_time_model::log_size_of(float size)
{
    // This form also catches NaN.
    if (!(size > min_size))
        return std::log(min_size);
    return std::log(std::min(size, max_size));
}

double run_time_model::size_trust() const
{
    double const weight = prior_runs / (prior_runs + observations_);
    double const prior = weight * prior_size_variance;
    if (var_x_ + prior <= 0)
        return 1;
    return std::clamp((cov_xy_ + prior) / (var_x_ + prior), 0.0, 1.0);
}

double run_time_model::predict(float log_size) const
{
    double const offset = size_trust() * (log_size - mean_x_);
    double const bounded = std::clamp(offset, -max_log_offset, max_log_offset);
    return std::exp(mean_y_ + bounded + residual_var_ / 2);
}

double run_time_model::mean() const
{
    return std::exp(mean_y_ + (var_x_ + residual_var_) / 2);
}

double run_time_model::learn(float log_size, double seconds)
{
    double const y = std::log(std::max(seconds, min_seconds));
    double const trust = size_trust();
    double const residual = y - mean_y_ - trust * (log_size - mean_x_);
    observations_ = std::min(observations_ + 1, max_weighted_runs);
    double const rate = 1 / (prior_runs + observations_);
    double const dx = log_size - mean_x_;
    double const dy = y - mean_y_;
    mean_x_ += rate * dx;
    mean_y_ += rate * dy;
    var_x_ = (1 - rate) * (var_x_ + rate * dx * dx);
    cov_xy_ = (1 - rate) * (cov_xy_ + rate * dx * dy);
    residual_var_ += rate * (residual * residual - residual_var_);
    return residual;
}

void run_time_model::rescale(double factor)
{
    mean_y_ += std::log(factor);
}

} // namespace masticshift::placement
