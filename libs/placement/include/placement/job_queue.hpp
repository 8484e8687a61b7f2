#ifndef MASTICSHIFT_PLACEMENT_JOB_QUEUE_HPP
#define MASTICSHIFT_PLACEMENT_JOB_QUEUE_HPP

#include <placement/policy.hpp>

#include <core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>

namespace masticshift::placement
{

/// Jobs that wait for slots, the most urgent first.
///
/// In the order of least remaining work, each second of waiting offsets
/// `ageing` seconds of work. Only jobs that arrive within a bounded time after
/// a job can therefore be placed ahead of it, so that large jobs do not starve.
template <class Job>
class job_queue
{
public:
    struct queued_job
    {
        double key = 0;
        std::uint64_t sequence = 0;
        Job* job = nullptr;

        friend bool operator<(queued_job const& a, queued_job const& b)
        {
            if (a.key != b.key)
                return a.key < b.key;
            return a.sequence < b.sequence;
        }
    };

    using position = typename std::set<queued_job>::iterator;

    /// `ageing` is the work, in seconds, that a second of waiting offsets.
    job_queue(job_order order, double ageing) : order_(order), ageing_(ageing)
    {
    }

    /// Adds a job. `sequence` is its number in the order of admission, also
    /// when it is queued again.
    position insert(Job& job, double remaining_seconds, time_point admitted,
                    std::uint64_t sequence)
    {
        return entries_
            .insert({key_of(remaining_seconds, admitted), sequence, &job})
            .first;
    }

    /// Repositions a job after its remaining work has changed.
    position update(position at, double remaining_seconds, time_point admitted)
    {
        auto const hint = std::next(at);
        auto node = entries_.extract(at);
        node.value().key = key_of(remaining_seconds, admitted);
        return entries_.insert(hint, std::move(node));
    }

    void erase(position at)
    {
        entries_.erase(at);
    }

    /// The sort key of a job; lower keys come first.
    double key_of(double remaining_seconds, time_point admitted) const
    {
        if (order_ == job_order::fifo)
            return 0;
        using seconds = std::chrono::duration<double>;
        auto const since_epoch = seconds(admitted.time_since_epoch()).count();
        return remaining_seconds + ageing_ * since_epoch;
    }

    bool empty() const
    {
        return entries_.empty();
    }
    std::size_t size() const
    {
        return entries_.size();
    }
    auto begin() const
    {
        return entries_.begin();
    }
    auto end() const
    {
        return entries_.end();
    }

private:
    job_order order_;
    double ageing_;
    std::set<queued_job> entries_;
};

} // namespace masticshift::placement

#endif
