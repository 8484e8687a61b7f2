#ifndef MASTICSHIFT_METRICS_LATENCY_HISTOGRAM_HPP
#define MASTICSHIFT_METRICS_LATENCY_HISTOGRAM_HPP

#include <core/time.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace masticshift::metrics
{

/// Times in bins that grow by a constant factor, ten to a decade from 0.1 ms
/// to 100 s. Shorter and longer ones are counted too.
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(latency_histogram&&) noexcept;
    latency_histogram& operator=(latency_histogram&&) noexcept;

    void observe(duration latency);

    std::uint64_t count() const;

    /// Seconds.
    double sum() const;

    /// The latency that the given part (0 to 1) of the observations does not
    /// exceed, interpolated within its bin, or nothing without observations.
    std::optional<duration> quantile(double part) const;

    /// Observations up to an upper bound.
    struct cumulative_bin
    {
        double upper_bound_seconds = 0;
        std::uint64_t count = 0;
    };

    /// Ordered by upper bound. The last bound is 100 s; `count()` has the
    /// longer ones too.
    std::vector<cumulative_bin> cumulative_bins() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace masticshift::metrics

#endif
