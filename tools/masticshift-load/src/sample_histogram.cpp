#include "sample_histogram.hpp"

#include <boost/histogram.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace masticshift::load
{

namespace
{

namespace hist = boost::histogram;

constexpr double min_sample = 1e-3;
constexpr double max_sample = 1e6;
/// 9 decades of 231 bins, each 1 % wide.
constexpr unsigned bin_count = 2'079;

using log_axis = hist::axis::regular<double, hist::axis::transform::log>;

auto make_histogram()
{
    return hist::make_histogram(log_axis(bin_count, min_sample, max_sample));
}

} // namespace

class sample_histogram::impl
{
public:
    decltype(make_histogram()) counts = make_histogram();
    std::size_t count = 0;
    double sum = 0;
    double max = 0;
};

sample_histogram::sample_histogram() : impl_(std::make_unique<impl>())
{
}

sample_histogram::~sample_histogram() = default;
sample_histogram::sample_histogram(sample_histogram&&) noexcept = default;
sample_histogram&
sample_histogram::operator=(sample_histogram&&) noexcept = default;

void sample_histogram::add(double sample)
{
    impl_->counts(std::clamp(sample, min_sample, max_sample / 2));
    ++impl_->count;
    impl_->sum += sample;
    impl_->max = std::max(impl_->max, sample);
}

std::size_t sample_histogram::count() const
{
    return impl_->count;
}

double sample_histogram::mean() const
{
    return impl_->count == 0 ? 0
                             : impl_->sum / static_cast<double>(impl_->count);
}

double sample_histogram::max() const
{
    return impl_->max;
}

double sample_histogram::quantile(double fraction) const
{
    auto const rank = fraction * static_cast<double>(impl_->count);
    double cumulative_count = 0;
    for (auto const& bin : bins())
    {
        cumulative_count += static_cast<double>(bin.count);
        if (cumulative_count >= rank)
            return std::min(bin.to, impl_->max);
    }
    return impl_->max;
}

std::vector<histogram_bin> sample_histogram::bins() const
{
    std::vector<histogram_bin> filled;
    for (auto const& cell : hist::indexed(impl_->counts))
    {
        auto const count = static_cast<std::size_t>(*cell);
        if (count > 0)
            filled.push_back({cell.bin().lower(), cell.bin().upper(), count});
    }
    return filled;
}

boost::json::value to_json(sample_histogram const& samples)
{
    return {{"count", samples.count()},      {"mean", samples.mean()},
            {"p50", samples.quantile(0.5)},  {"p90", samples.quantile(0.9)},
            {"p99", samples.quantile(0.99)}, {"p999", samples.quantile(0.999)},
            {"max", samples.max()}};
}

} // namespace masticshift::load
