#ifndef MASTICSHIFT_LOAD_SAMPLE_HISTOGRAM_HPP
#define MASTICSHIFT_LOAD_SAMPLE_HISTOGRAM_HPP

#include <boost/json/value.hpp>

#include <cstddef>
#include <memory>
#include <vector>

namespace masticshift::load
{

/// A bin that is not empty.
struct histogram_bin
{
    double from = 0;
    double to = 0;
    std::size_t count = 0;
};

/// Counts positive samples in logarithmic bins 1 % wide.
class sample_histogram
{
public:
    sample_histogram();
    ~sample_histogram();
    sample_histogram(sample_histogram&&) noexcept;
    sample_histogram& operator=(sample_histogram&&) noexcept;

    void add(double sample);

    std::size_t count() const;
    double mean() const;
    double max() const;
    /// Upper edge of the bin that holds the sample at this quantile (0 to 1),
    /// at most the largest sample. 0 when there are no samples.
    double quantile(double fraction) const;
    std::vector<histogram_bin> bins() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

/// Count, mean, quantiles and maximum.
boost::json::value to_json(sample_histogram const& samples);

} // namespace masticshift::load

#endif
