#ifndef MASTICSHIFT_PLACEMENT_JOB_STATE_HPP
#define MASTICSHIFT_PLACEMENT_JOB_STATE_HPP

#include <placement/job_queue.hpp>
#include <placement/task.hpp>

#include <core/time.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace masticshift::placement
{

class service_state;

enum class task_phase : std::uint8_t
{
    queued,
    running,
    /// The attempt certainly did not start; `requeue` or `cancel` must follow.
    undecided,
    ended
};

struct task_state
{
    /// Predicted seconds at speed 1.
    float work = 0;
    float log_size = 0;
    /// Index of the service's member, and slot, of the last attempt.
    std::uint32_t member = 0;
    std::uint16_t slot = 0;
    task_phase phase = task_phase::queued;
    std::uint8_t attempts = 0;
};

/// An admitted job.
class job_state
{
public:
    using queue = job_queue<job_state>;

    job_state(std::uint64_t number, service_state& job_service,
              std::vector<task_state> job_tasks, bool longest_first);

    /// The queued task to start first: one that was queued again, else the
    /// longest or, without `longest_first`, the first in the given order. At
    /// least one task must be queued.
    std::uint32_t first() const;

    /// The queued task to start last. At least one task must be queued.
    std::uint32_t last() const;

    /// Marks `first()` or `last()` as running.
    void start(std::uint32_t task);

    /// Queues a task again.
    void requeue(std::uint32_t task);

    /// Drops all queued tasks; returns how many.
    std::uint32_t drop_queued();

    std::uint32_t queued() const
    {
        return end_ - begin_ + static_cast<std::uint32_t>(requeued_.size());
    }
    bool has_ended() const
    {
        return queued() == 0 && running == 0 && undecided == 0;
    }

    std::uint64_t const id;
    service_state& service;
    std::vector<task_state> tasks;
    std::uint32_t running = 0;
    std::uint32_t undecided = 0;
    bool cancelled = false;
    /// Predicted seconds at speed 1 of the queued tasks.
    double remaining = 0;
    time_point admitted{};
    /// Latest predicted end of the tasks started so far.
    time_point expected_end{};
    /// When its first task started to wait for a faster slot, if it does.
    std::optional<time_point> deferred_since;
    /// Number in the order of admission.
    std::uint64_t sequence = 0;
    /// Valid while tasks are queued.
    queue::position position{};

private:
    /// Task numbers in the order of starting. Those in [begin_, end_) are
    /// queued for their first attempt.
    std::vector<std::uint32_t> order_;
    std::uint32_t begin_ = 0;
    std::uint32_t end_ = 0;
    /// Tasks queued again, in ascending order of work. They start before the
    /// others, from the back.
    std::vector<std::uint32_t> requeued_;
};

} // namespace masticshift::placement

#endif
