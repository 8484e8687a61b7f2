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

/// Before so many answers the estimate says nothing.
constexpr unsigned least_samples = 8;

/// Endpoints of the deployments answer within two milliseconds. An entry that
/// gets a quarter of a core in slices of 100 ms may look at an answer late, but
/// then it reads before its timers run.
constexpr milliseconds least_limit{25};

/// A third of the time after which a dispatcher counts as lost.
constexpr milliseconds longest_limit{150};

} // namespace

void response_timeout::answered(duration taken)
{
    observe(to_milliseconds(taken));
}

void response_timeout::unanswered()
{
    observe(static_cast<double>(limit().count()));
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

milliseconds response_timeout::limit() const
{
    if (samples_ < least_samples)
        return longest_limit;
    auto const estimate =
        milliseconds(std::lround(mean_ms_ + deviations * deviation_ms_));
    return std::clamp(estimate, least_limit, longest_limit);
}

} // namespace masticshift::dispatch
