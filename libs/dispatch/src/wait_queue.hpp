#ifndef MASTICSHIFT_DISPATCH_WAIT_QUEUE_HPP
#define MASTICSHIFT_DISPATCH_WAIT_QUEUE_HPP

#include "tracked_job.hpp"

#include <map>
#include <tuple>

namespace masticshift::dispatch
{

/// Classes of jobs with waiting tasks, highest precedence first.
enum class wait_class
{
    /// Some of its tasks run or are done. Their work is wasted unless the
    /// others are done too.
    started,
    /// It can still meet its objective.
    in_time,
    late
};

/// Jobs with tasks to be placed, in the order of placement: by class, and
/// within a class by the latest start that meets the objective.
class wait_queue
{
public:
    struct key
    {
        wait_class rank = wait_class::in_time;
        time_point latest_start;
        std::uint64_t number = 0;

        friend bool operator<(key const& left, key const& right)
        {
            return std::tie(left.rank, left.latest_start, left.number) <
                   std::tie(right.rank, right.latest_start, right.number);
        }
    };

    using map = std::map<key, job_ptr>;

    /// Adds a job or moves it to its new position.
    void put(job_ptr const& job, wait_class rank, time_point latest_start)
    {
        remove(*job);
        key const place{rank, latest_start, job->number};
        places_[job->number] = place;
        jobs_[place] = job;
    }

    void remove(tracked_job const& job)
    {
        auto const found = places_.find(job.number);
        if (found == places_.end())
            return;
        jobs_.erase(found->second);
        places_.erase(found);
    }

    map const& jobs() const
    {
        return jobs_;
    }

private:
    map jobs_;
    std::map<std::uint64_t, key> places_;
};

} // namespace masticshift::dispatch

#endif
