#include <metrics/latency_histogram.hpp>

#include <boost/histogram.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>

namespace masticshift::metrics
{

namespace
{

namespace histogram = boost::histogram;

constexpr double shortest_seconds = 1e-4;
constexpr double longest_seconds = 1e2;
constexpr unsigned bins = 60;

using log_axis =
    histogram::axis::regular<double, histogram::axis::transform::log>;
using counts = histogram::histogram<std::tuple<log_axis>,
                                    histogram::dense_storage<std::uint64_t>>;

duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace

class latency_histogram::impl
{
public:
    impl()
        : counts_(std::tuple(log_axis(bins, shortest_seconds, longest_seconds)))
    {
    }

    void observe(double seconds)
    {
        counts_(seconds);
        ++count_;
        sum_ += seconds;
    }

    std::uint64_t count() const
    {
        return count_;
    }

    double sum() const
    {
        return sum_;
    }

    double upper_bound(int bin) const
    {
        return bin < 0 ? shortest_seconds : counts_.axis().bin(bin).upper();
    }

    /// Number of observations in a bin. Bin -1 is the underflow bin.
    std::uint64_t bin_count(int bin) const
    {
        return counts_.at(bin);
    }

    /// The inclusive lower bound of a bin.
    double lower_bound(int bin) const
    {
        return bin < 0 ? 0 : counts_.axis().bin(bin).lower();
    }

private:
    counts counts_;
    std::uint64_t count_ = 0;
    double sum_ = 0;
};

latency_histogram::latency_histogram() : impl_(std::make_unique<impl>())
{
}

latency_histogram::~latency_histogram() = default;
latency_histogram::latency_histogram(latency_histogram&&) noexcept = default;
latency_histogram&
latency_histogram::operator=(latency_histogram&&) noexcept = default;

void latency_histogram::observe(duration latency)
{
    auto const seconds = std::chrono::duration<double>(latency).count();
    impl_->observe(std::max(seconds, 0.0));
}

std::uint64_t latency_histogram::count() const
{
    return impl_->count();
}

double latency_histogram::sum() const
{
    return impl_->sum();
}

std::optional<duration> latency_histogram::quantile(double fraction) const
{
    if (impl_->count() == 0)
        return std::nullopt;
    auto const rank =
        std::clamp(fraction, 0.0, 1.0) * static_cast<double>(impl_->count());
    double count_below = 0;
    for (int bin = -1; bin < static_cast<int>(bins); ++bin)
    {
        auto const count_in_bin = static_cast<double>(impl_->bin_count(bin));
        if (count_in_bin > 0 && count_below + count_in_bin >= rank)
        {
            auto const fraction_in_bin = (rank - count_below) / count_in_bin;
            auto const lower = impl_->lower_bound(bin);
            auto const width = impl_->upper_bound(bin) - lower;
            return from_seconds(lower + fraction_in_bin * width);
        }
        count_below += count_in_bin;
    }
    return from_seconds(longest_seconds);
}

std::vector<latency_histogram::cumulative_bin>
latency_histogram::cumulative_bins() const
{
    std::vector<cumulative_bin> result;
    result.reserve(bins + 1);
    std::uint64_t count = 0;
    for (int bin = -1; bin < static_cast<int>(bins); ++bin)
    {
        count += impl_->bin_count(bin);
        result.push_back({impl_->upper_bound(bin), count});
    }
    return result;
}

} // namespace masticshift::metrics
