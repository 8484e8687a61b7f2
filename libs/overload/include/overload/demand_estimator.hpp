#ifndef MASTICSHIFT_OVERLOAD_DEMAND_ESTIMATOR_HPP
#define MASTICSHIFT_OVERLOAD_DEMAND_ESTIMATOR_HPP

#include <core/time.hpp>

#include <map>

namespace masticshift::overload
{

/// How much work arrives of each priority, and what part of the capacity fair
/// queueing leaves to one of them.
class demand_estimator
{
public:
    /// `work`: capacity times milliseconds.
    void add(int priority, double work, time_point now);

    /// The rate of arrivals, in the unit of the capacity.
    double demand(int priority, time_point now) const;

    /// Demand of all priorities together.
    double total(time_point now) const;

    /// The part of `capacity` that the priority gets while its own jobs wait
    /// and work of the others arrives as before: at least its share by weight,
    /// and what the others leave of theirs.
    double rate(int priority, double capacity, time_point now) const;

    /// Whether work of more than one priority has arrived.
    bool mixed() const
    {
        return priorities_.size() > 1;
    }

    /// The least urgent priority of which work has arrived; 0 if none has.
    int last_priority() const
    {
        return priorities_.empty() ? 0 : priorities_.rbegin()->first;
    }

private:
    std::map<int, double> demands(time_point now) const;

    struct average
    {
        /// Recent work; the weight of each arrival decreases with its age.
        double work = 0;
        time_point updated{};
    };

    static double work_left(average const& each, time_point now);

    std::map<int, average> priorities_;
};

} // namespace masticshift::overload

#endif
