#ifndef MASTICSHIFT_DISPATCH_WAIT_QUEUE_HPP
#define MASTICSHIFT_DISPATCH_WAIT_QUEUE_HPP

#include "tracked_job.hpp"

#include <map>
#include <tuple>

namespace masticshift::dispatch
{

/// How far a waiting job has come, in the order of service.
enum class wait_class
{
    /// Some of its tasks run or are done: the rest makes them worth it.
    begun,
    /// It can still meet its objective.
    in_time,
    late
};

/// Jobs that have tasks to be placed, in the order in which they are served: by
/// class, and in a class the one that has to start soonest first.
class wait_queue
{
public:
    struct key
    {
        wait_class standing = wait_class::in_time;
        time_point latest_start;
        std::uint64_t number = 0;

        friend bool operator<(key const& left, key const& right)
        {
            return std::tie(left.standing, left.latest_start, left.number) <
                   std::tie(right.standing, right.latest_start, right.number);
        }
    };

    using map = std::map<key, job_ptr>;

    /// Adds a job or changes its place.
    void put(job_ptr const& job, wait_class standing, time_point latest_start)
    {
        remove(*job);
        key const place{standing, latest_start, job->number};
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
