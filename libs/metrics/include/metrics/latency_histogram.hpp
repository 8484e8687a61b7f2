#ifndef MASTICSHIFT_METRICS_LATENCY_HISTOGRAM_HPP
#define MASTICSHIFT_METRICS_LATENCY_HISTOGRAM_HPP

#include <core/time.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace masticshift::metrics
{

/// A histogram of durations with logarithmic bins, ten per decade, from 0.1 ms
/// to 100 s. Shorter and longer durations are counted in underflow and overflow
/// bins.
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(latency_histogram&&) noexcept;
    latency_histogram& operator=(latency_histogram&&) noexcept;

    void observe(duration latency);

    std::uint64_t count() const;

    /// Sum of all observed latencies, in seconds.
    double sum() const;

    /// The quantile for `fraction` (0 to 1), interpolated within its bin, or
    /// nothing without observations. At most 100 s.
    std::optional<duration> quantile(double fraction) const;

    /// Number of observations up to an upper bound.
    struct cumulative_bin
    {
        double upper_bound_seconds = 0;
        std::uint64_t count = 0;
    };

    /// Ordered by upper bound. The last bound is 100 s; `count()` also includes
    /// longer latencies.
    std::vector<cumulative_bin> cumulative_bins() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace masticshift::metrics

#endif
