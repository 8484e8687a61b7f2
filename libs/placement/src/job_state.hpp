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
    /// Ended without a start; `requeue` or `cancel` decides.
    undecided,
    ended
};

struct task_state
{
    /// Predicted seconds at speed 1.
    float work = 0;
    float log_size = 0;
    /// Where it runs.
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

    job_state(std::uint64_t number, service_state& owner,
              std::vector<task_state> all, bool longest_first);

    /// The queued task that is to start first, the longest when these are
    /// ordered so. Some task must be queued.
    std::uint32_t first() const;

    /// The queued task that is to start last.
    std::uint32_t last() const;

    /// Takes `first()` or `last()` out of the queued ones.
    void take(std::uint32_t task);

    /// Queues a task again.
    void put_back(std::uint32_t task);

    /// Drops all queued tasks; returns how many.
    std::uint32_t drop_queued();

    std::uint32_t queued() const
    {
        return end_ - begin_ + static_cast<std::uint32_t>(returned_.size());
    }
    bool over() const
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
    /// Predicted end of the tasks that were started.
    time_point expected_end{};
    /// Since when its first task has been waiting for a faster slot.
    std::optional<time_point> deferred_since;
    std::uint64_t sequence = 0;
    /// Valid while tasks are queued.
    queue::position position{};

private:
    /// Task numbers in the order of starting; [begin_, end_) are queued.
    std::vector<std::uint32_t> order_;
    std::uint32_t begin_ = 0;
    std::uint32_t end_ = 0;
    /// Queued again; they go first, from the back.
    std::vector<std::uint32_t> returned_;
};

} // namespace masticshift::placement

#endif
