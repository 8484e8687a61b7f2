#ifndef MASTICSHIFT_PLACEMENT_STATUS_HPP
#define MASTICSHIFT_PLACEMENT_STATUS_HPP

#include <core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace masticshift::placement
{

/// Whether an endpoint is given tasks of a service.
enum class health_state
{
    healthy,
    /// Gets no tasks for a short time after refusals or connect failures.
    paused,
    /// Gets no tasks, since it fails far more often than the other endpoints.
    ejected,
    /// The ejection has ended; gets one task at a time until enough succeed.
    probing
};

std::string_view name_of(health_state state);

/// State of an endpoint for one service.
struct endpoint_status
{
    std::string service;
    std::string endpoint;
    /// Relative to the geometric mean of the service's endpoints.
    double speed = 1.0;
    health_state health = health_state::healthy;
    bool leaving = false;
    /// Tasks of this service that this entry runs there.
    unsigned running = 0;
    /// Slots over all services, as known to this entry.
    unsigned owned_slots = 0;
    unsigned borrowed_slots = 0;
    unsigned lent_slots = 0;
    std::uint64_t tasks_ok = 0;
    std::uint64_t task_errors = 0;
    std::uint64_t answers_lost = 0;
    std::uint64_t refusals = 0;
    std::uint64_t connect_failures = 0;
};

struct service_status
{
    std::string service;
    /// No longer configured; its last jobs still run.
    bool retired = false;
    std::size_t jobs = 0;
    std::size_t queued_tasks = 0;
    std::size_t running_tasks = 0;
    /// Learned mean run time of a task of size 1 at speed 1.
    duration run_time{};
    /// 0: declared sizes are ignored; 1: taken as proportional.
    double size_trust = 1.0;
};

struct engine_status
{
    std::string_view policy;
    std::vector<service_status> services;
    std::vector<endpoint_status> endpoints;
};

} // namespace masticshift::placement

#endif
