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
    /// Place in the order of speed, the fastest first.
    std::uint32_t rank = 0;
    std::uint32_t running = 0;
    std::uint8_t speed_class = 0;
};

/// A slot that a task could start on.
struct slot_choice
{
    std::uint32_t member = 0;
    unsigned slot = 0;
    double speed = 1;
};

/// A service as it was configured at one time, its jobs and its endpoints.
class service_state
{
public:
    service_state(config::service_config configured,
                  std::vector<endpoint_state*> const& endpoints,
                  job_order order, engine_settings const& settings);

    /// Takes over what an earlier form of the service has learned.
    void inherit(service_state const& earlier);

    /// Looks up whether tasks may start at a member.
    void refresh(std::uint32_t member, time_point now);

    /// The fastest endpoint with a slot for this work.
    std::optional<slot_choice> fastest(double work, time_point now) const;

    /// Seconds until a task of this work would end if it waited for an
    /// endpoint clearly faster than `speed`, after all queued tasks. Infinite
    /// when none is busy.
    double end_when_waiting(double work, double speed) const;

    void started(std::uint32_t member);
    void ended(std::uint32_t member);

    /// Learns from a task that ended well.
    void learn(std::uint32_t member, float log_size, duration took);

    /// Orders the endpoints by speed when enough was learned since the last
    /// time. Returns whether it did.
    bool reorder_if_due(time_point now);
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
    /// Speed of the fastest usable endpoint, or 1.
    double best_speed(time_point now) const;
    /// Whether it could start work, as far as its own endpoints go.
    bool usable(time_point now) const;
    /// Sum of the speeds of the slots that this entry owns.
    double owned_capacity() const
    {
        return owned_capacity_;
    }
    /// To be called when slots change owner or endpoints leave.
    void count_capacity();
    /// Predicted run time of a task of mean size at a member.
    duration mean_run_time(member_state const& member) const;

    config::service_config config;
    std::vector<member_state> members;
    /// Members from the fastest to the slowest.
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

    rank_bitmap startable_;
    /// Tasks of this entry that run on endpoints of each class.
    std::array<std::uint32_t, speed_classes> busy_{};
    std::uint32_t learned_ = 0;
    double owned_capacity_ = 0;
};

} // namespace masticshift::placement

#endif
