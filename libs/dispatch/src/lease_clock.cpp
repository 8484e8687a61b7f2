#include <dispatch/lease_clock.hpp>

#include <algorithm>

namespace masticshift::dispatch
{

namespace
{

/// An endpoint's clock may run 2 % slow; another 2 % allow for rounding and for
/// the drift of this process's clock.
constexpr double min_clock_rate = 0.96;

} // namespace

void lease_clock::observe(std::int64_t endpoint_ms, time_point received,
                          std::optional<time_point> sent)
{
    if (!first_ && sent)
        first_ = {endpoint_ms, *sent};
    else if (first_ && received > first_->received)
    {
        // The endpoint read its clock not before the first call was sent, and
        // not after this response was received.
        auto const rate =
            static_cast<double>(endpoint_ms - first_->endpoint_ms) /
            to_milliseconds(received - first_->received);
        least_rate_ = std::max(rate, least_rate_);
    }
    // Responses may arrive out of order; older ones are ignored.
    if (!latest_ || endpoint_ms >= latest_->endpoint_ms)
        latest_ = {endpoint_ms, received};
}

void lease_clock::reset()
{
    latest_.reset();
    first_.reset();
    least_rate_ = slowest_rate;
}

bool lease_clock::known() const
{
    return latest_.has_value();
}

std::int64_t lease_clock::lease_end(time_point now, milliseconds length) const
{
    auto const since = to_milliseconds(now - latest_->received) * least_rate_;
    return latest_->endpoint_ms + static_cast<std::int64_t>(since) +
           length.count();
}

time_point lease_clock::time_when_passed(std::int64_t endpoint_ms) const
{
    auto const ahead = static_cast<double>(endpoint_ms - latest_->endpoint_ms) /
                       min_clock_rate;
    return latest_->received +
           std::chrono::duration_cast<duration>(
               std::chrono::duration<double, std::milli>(ahead));
}

} // namespace masticshift::dispatch
