#ifndef MASTICSHIFT_DISPATCH_WAIT_QUEUE_HPP
#define MASTICSHIFT_DISPATCH_WAIT_QUEUE_HPP

#include "job_state.hpp"

#include <map>
#include <tuple>

namespace masticshift::dispatch
{

/// Jobs that have tasks to be placed, in the order in which they are served:
/// first those that can still meet their objective, the one that has to start
/// soonest first; then those that are late.
class wait_queue
{
public:
    struct key
    {
        bool late = false;
        time_point latest_start;
        std::uint64_t number = 0;

        friend auto operator<=>(key const&, key const&) = default;
    };

    using map = std::map<key, job_ptr>;

    /// Adds a job or changes its place.
    void put(job_ptr const& job, bool late, time_point latest_start)
    {
        remove(*job);
        key const place{late, latest_start, job->number};
        places_[job->number] = place;
        jobs_[place] = job;
    }

    void remove(job_state const& job)
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
