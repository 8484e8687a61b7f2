#ifndef MASTICSHIFT_DISPATCH_CONFIGURATION_HPP
#define MASTICSHIFT_DISPATCH_CONFIGURATION_HPP

#include <core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace masticshift::dispatch
{

/// Jobs of one kind, addressed by host and path.
struct queue_settings
{
    std::string name;
    std::string host;
    std::string path_prefix;
    std::string service;
    int priority = 0;
    int max_attempts = 1;
    double slack_factor = 1;
    milliseconds target_latency{0};
    /// Endpoints for its jobs have to be approved by an external service.
    bool needs_approval = false;
};

struct service_settings
{
    std::string name;
    /// Its VMs are switched off.
    bool standby = false;
};

/// One version of the settings made by operators.
struct configuration
{
    std::int64_t version = 0;
    std::vector<queue_settings> queues;
    std::vector<service_settings> services;
    std::size_t max_header_bytes = 16 << 10;
    std::size_t max_body_bytes = 256 << 10;
};

/// Finds the queue that a call addresses.
class queue_index
{
public:
    queue_index() = default;
    explicit queue_index(configuration const& settings);

    /// The queue of this host with the longest prefix that matches the path, or
    /// null.
    queue_settings const* find(std::string_view host,
                               std::string_view path) const;

private:
    /// Queues by host, those with the longest path prefix first.
    std::map<std::string, std::vector<queue_settings>, std::less<>> hosts_;
};

} // namespace masticshift::dispatch

#endif
