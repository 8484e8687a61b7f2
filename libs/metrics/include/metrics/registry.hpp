#ifndef MASTICSHIFT_METRICS_REGISTRY_HPP
#define MASTICSHIFT_METRICS_REGISTRY_HPP

#include <metrics/counter.hpp>
#include <metrics/gauge.hpp>
#include <metrics/latency_histogram.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace masticshift::metrics
{

struct label
{
    std::string name;
    std::string value;
};

using labels = std::vector<label>;

/// The metrics of a process, rendered in the Prometheus text format.
///
/// A metric is created when it is first requested. Further requests with the
/// same name and labels return the same metric. The reference stays valid as
/// long as the registry exists; keep it for metrics that are updated often, to
/// avoid the lookup.
///
/// Throws `std::logic_error` when a name is malformed or used for metrics of
/// two types. Not thread-safe.
class registry
{
public:
    registry();
    ~registry();

    registry(registry const&) = delete;
    registry& operator=(registry const&) = delete;

    counter& get_counter(std::string_view name, std::string_view help,
                         labels const& labels = {});
    gauge& get_gauge(std::string_view name, std::string_view help,
                     labels const& labels = {});
    /// The name should end in `_seconds`.
    latency_histogram& get_histogram(std::string_view name,
                                     std::string_view help,
                                     labels const& labels = {});

    /// All metrics in the Prometheus text format, ordered by name and labels.
    std::string render() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace masticshift::metrics

#endif
