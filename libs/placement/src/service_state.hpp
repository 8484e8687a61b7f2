#ifndef MASTICSHIFT_PLACEMENT_SERVICE_STATE_HPP
#define MASTICSHIFT_PLACEMENT_SERVICE_STATE_HPP

#include "endpoint_state.hpp"
#include "job_state.hpp"
#include "rank_bitmap.hpp"

#include <placement/endpoint_health.hpp>
#include <placement/endpoint_speed.hpp>
#include <placement/engine_settings.hpp>
#include <placement/run_time_model.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace masticshift::placement
{

/// An endpoint of a service with what was learned about it.
struct member_state
{
    endpoint_state* endpoint = nullptr;
    endpoint_speed speed;
    endpoint_health health;
    /// Position in the order of speed, 0 for the fastest.
    std::uint32_t rank = 0;
    /// Number of this service's tasks that run there.
    std::uint32_t running = 0;
    std::uint8_t speed_class = 0;
};

/// A slot that a task can start on.
struct slot_choice
{
    std::uint32_t member = 0;
    unsigned slot = 0;
    double speed = 1;
};

/// A service with one version of its configuration, its jobs and its endpoints.
/// A new version with other endpoints gets a new object; the old one is retired
/// and finishes its jobs.
class service_state
{
public:
    service_state(config::service_config configured,
                  std::vector<endpoint_state*> const& endpoints,
                  job_order order, engine_settings const& settings);

    /// Copies the run times, speeds and health that an earlier version of the
    /// service has learned.
    void inherit(service_state const& earlier);

    /// Updates whether tasks may start at a member.
    void refresh(std::uint32_t member, time_point now);

    /// The fastest endpoint with a free slot for a task of this work (predicted
    /// seconds at speed 1).
    std::optional<slot_choice> fastest(double work, time_point now) const;

    /// Predicted seconds until a task of this work ends if it waits, behind all
    /// queued tasks, for an endpoint clearly faster than `speed`. Infinite when
    /// no task runs on such an endpoint.
    double end_when_waiting(double work, double speed) const;

    void record_start(std::uint32_t member);
    void record_end(std::uint32_t member);

    /// Updates run times and speed from a task that ended successfully.
    void learn(std::uint32_t member, float log_size, duration took);

    /// Sorts the endpoints by speed if enough results have been recorded since
    /// the last time. Returns whether it did.
    bool reorder_if_due(time_point now);
    /// Sorts the endpoints by speed.
    void reorder(time_point now);

    /// Whether tasks may start at a member.
    bool is_startable(member_state const& member) const
    {
        return startable_.contains(member.rank);
    }
    bool has_startable() const
    {
        return !startable_.empty();
    }
    /// Speed of the fastest usable endpoint; 1 when there is none.
    double best_speed(time_point now) const;
    /// Whether an endpoint of the service is usable. Does not check the
    /// services that it depends on.
    bool usable(time_point now) const;
    /// Sum of the speeds of the slots that this entry owns.
    double owned_capacity() const
    {
        return owned_capacity_;
    }
    /// Recomputes `owned_capacity`; to be called when slots change owner or
    /// endpoints leave.
    void update_capacity();
    /// Predicted run time of a task of mean size at a member.
    duration mean_run_time(member_state const& member) const;

    config::service_config config;
    std::vector<member_state> members;
    /// Indices of the members, from the fastest to the slowest.
    std::vector<std::uint32_t> by_rank;
    job_state::queue queue;
    run_time_model model;
    failure_totals failures;
    std::size_t jobs = 0;
    std::size_t queued_tasks = 0;
    std::size_t running_tasks = 0;
    /// Predicted seconds at speed 1 of all queued tasks.
    double queued_work = 0;
    bool retired = false;

private:
    static constexpr std::size_t speed_classes = 16;

    static std::uint8_t class_of(double speed);
    static double speed_of(std::size_t speed_class);
    void normalise_speeds();

    /// Ranks of the members at which tasks may start.
    rank_bitmap startable_;
    /// Number of this entry's running tasks on endpoints of each speed class.
    std::array<std::uint32_t, speed_classes> running_by_class_{};
    /// Results recorded since the endpoints were last sorted.
    std::uint32_t results_since_reorder_ = 0;
    double owned_capacity_ = 0;
};

} // namespace masticshift::placement

#endif
