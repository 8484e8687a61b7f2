#include <dispatch/response_timeout.hpp>

#include <algorithm>
#include <cmath>

namespace masticshift::dispatch
{

namespace
{

/// Gains and factor of RFC 6298, section 2.
constexpr double mean_gain = 1.0 / 8;
constexpr double deviation_gain = 1.0 / 4;
constexpr double deviations = 4;

/// With fewer samples the estimate is unreliable, and the maximum is used.
constexpr unsigned min_samples = 8;

/// Endpoints of the deployments respond within two milliseconds. An entry that
/// is limited to a quarter of a core in periods of 100 ms may be paused for
/// longer, but afterwards it reads responses before its timers run.
constexpr milliseconds min_timeout{25};

/// More than connecting and one call take between neighbouring data centres.
constexpr milliseconds min_first_attempt{6};

constexpr unsigned most_doublings = 3;

/// A third of the time after which a dispatcher counts as dead.
constexpr milliseconds max_timeout{150};

} // namespace

void response_timeout::answered(duration taken)
{
    observe(to_milliseconds(taken));
}

void response_timeout::observe(double taken_ms)
{
    if (samples_++ == 0)
    {
        mean_ms_ = taken_ms;
        deviation_ms_ = taken_ms / 2;
        return;
    }
    deviation_ms_ +=
        (std::abs(taken_ms - mean_ms_) - deviation_ms_) * deviation_gain;
    mean_ms_ += (taken_ms - mean_ms_) * mean_gain;
}

std::optional<double> response_timeout::estimate_ms() const
{
    if (samples_ < min_samples)
        return std::nullopt;
    return mean_ms_ + deviations * deviation_ms_;
}

milliseconds response_timeout::current() const
{
    auto const estimate = estimate_ms();
    if (!estimate)
        return max_timeout;
    return std::clamp(milliseconds(std::lround(*estimate)), min_timeout,
                      max_timeout);
}

milliseconds response_timeout::of_attempt(unsigned attempt) const
{
    auto const estimate = estimate_ms();
    if (!estimate)
        return max_timeout;
    // Connecting takes a round trip too.
    auto const first =
        std::max(milliseconds(std::lround(2 * *estimate)), min_first_attempt);
    return std::min(first * (1 << std::min(attempt, most_doublings)),
                    max_timeout);
}

milliseconds response_timeout::after(unsigned unanswered) const
{
    auto const doublings =
        std::min(unanswered - std::min(unanswered, 1U), most_doublings);
    return std::min(current() * (1 << doublings), max_timeout);
}

} // namespace masticshift::dispatch
