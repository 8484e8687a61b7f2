#include <overload/usable_capacity.hpp>

#include <algorithm>
#include <cmath>

namespace masticshift::overload
{

namespace
{

/// Tasks stay for a few hundred milliseconds, so that closer samples are of the
/// same tasks.
constexpr milliseconds sample_interval{10};

/// Weight of a sample: half of the weight is of the last 300 ms of shortage.
constexpr double sample_weight = 0.023;

constexpr double least_part = 0.5;

} // namespace

void usable_capacity::observe_full(std::int64_t used, std::int64_t sum,
                                   time_point now)
{
    if (sum <= 0 || now - observed_ < sample_interval)
        return;
    observed_ = now;
    auto const sample = static_cast<double>(used) / static_cast<double>(sum);
    part_ += sample_weight * (std::clamp(sample, least_part, 1.0) - part_);
}

std::int64_t usable_capacity::of(std::int64_t sum) const
{
    return std::llround(static_cast<double>(sum) * part_);
}

} // namespace masticshift::overload
