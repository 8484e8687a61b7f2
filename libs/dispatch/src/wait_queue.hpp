#ifndef MASTICSHIFT_DISPATCH_WAIT_QUEUE_HPP
#define MASTICSHIFT_DISPATCH_WAIT_QUEUE_HPP

#include "tracked_job.hpp"

#include <overload/fair_order.hpp>
#include <overload/fair_share.hpp>

#include <limits>
#include <map>
#include <optional>
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

/// Jobs with tasks to be placed, in the order of placement: by class; those in
/// time by fair queueing between their priorities, and within a priority, as
/// within the other classes, by the latest start that meets the objective.
class wait_queue
{
public:
    struct key
    {
        wait_class rank = wait_class::in_time;
        /// 0 in the classes that have no order by priority.
        int priority = 0;
        time_point latest_start;
        std::uint64_t number = 0;

        friend bool operator<(key const& left, key const& right)
        {
            return std::tie(left.rank, left.priority, left.latest_start,
                            left.number) < std::tie(right.rank, right.priority,
                                                    right.latest_start,
                                                    right.number);
        }
    };

    using map = std::map<key, job_ptr>;

    /// Adds a job or moves it to its new position.
    void put(job_ptr const& job, wait_class rank, time_point latest_start)
    {
        auto const priority =
            rank == wait_class::in_time ? job->spec.priority : 0;
        key const place{rank, priority, latest_start, job->number};
        auto const known = places_.find(job->number);
        if (known != places_.end() && !(known->second < place) &&
            !(place < known->second))
            return;
        // Before the removal: a priority that stays active keeps its tag.
        if (rank == wait_class::in_time && ++waiting_[priority] == 1)
            shares_.activate(priority);
        remove(*job);
        places_[job->number] = place;
        jobs_[place] = job;
    }

    void remove(tracked_job const& job)
    {
        auto const found = places_.find(job.number);
        if (found == places_.end())
            return;
        auto const place = found->second;
        jobs_.erase(place);
        places_.erase(found);
        if (place.rank != wait_class::in_time)
            return;
        auto const count = waiting_.find(place.priority);
        if (--count->second > 0)
            return;
        waiting_.erase(count);
        shares_.deactivate(place.priority);
    }

    /// All jobs, by class, priority and latest start.
    map const& jobs() const
    {
        return jobs_;
    }

    /// Work of a job that was started, which counts against the share of its
    /// priority.
    void charge(int priority, double work)
    {
        shares_.charge(priority, work);
    }

    /// Calls `visit` with the jobs in the order of placement. It returns the
    /// work that the job takes of its priority's share, or nothing to end the
    /// visit.
    template <class Visit>
    void visit(Visit visit) const
    {
        if (visit_started(visit) &&
            overload::visit_fairly(classes_in_time(), visit))
            visit_from(key{wait_class::late, 0, time_point::min(), 0}, visit);
    }

    /// Like `visit`, but ends where a new job of the priority would be placed.
    template <class Visit>
    void visit_ahead_of_new(int priority, Visit visit) const
    {
        if (!visit_started(visit))
            return;
        auto classes = classes_in_time();
        auto place = std::size_t{0};
        auto const known = waiting_.lower_bound(priority);
        place =
            static_cast<std::size_t>(std::distance(waiting_.begin(), known));
        if (known == waiting_.end() || known->first != priority)
            classes.insert(classes.begin() + static_cast<std::ptrdiff_t>(place),
                           {jobs_.end(), jobs_.end(), shares_.tag(priority),
                            overload::fair_share::weight(priority)});
        classes[place].stop_at_end = true;
        overload::visit_fairly(std::move(classes), visit);
    }

private:
    using waiting_class = overload::waiting_class<map::const_iterator>;

    template <class Visit>
    bool visit_started(Visit& visit) const
    {
        for (auto const& each : jobs_)
        {
            if (each.first.rank != wait_class::started)
                break;
            if (!visit(each))
                return false;
        }
        return true;
    }

    template <class Visit>
    void visit_from(key const& first, Visit& visit) const
    {
        for (auto each = jobs_.lower_bound(first); each != jobs_.end(); ++each)
        {
            if (!visit(*each))
                return;
        }
    }

    std::vector<waiting_class> classes_in_time() const
    {
        std::vector<waiting_class> classes;
        classes.reserve(waiting_.size() + 1);
        for (auto const& [priority, count] : waiting_)
        {
            auto const begin = jobs_.lower_bound(
                {wait_class::in_time, priority, time_point::min(), 0});
            auto const end = jobs_.upper_bound(
                {wait_class::in_time, priority, time_point::max(),
                 std::numeric_limits<std::uint64_t>::max()});
            classes.push_back({begin, end, shares_.tag(priority),
                               overload::fair_share::weight(priority)});
        }
        return classes;
    }

    map jobs_;
    std::map<std::uint64_t, key> places_;
    /// Number of jobs in time by priority.
    std::map<int, std::size_t> waiting_;
    overload::fair_share shares_;
};

} // namespace masticshift::dispatch

#endif
