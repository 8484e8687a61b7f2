#ifndef MASTICSHIFT_OVERLOAD_FAIR_SHARE_HPP
#define MASTICSHIFT_OVERLOAD_FAIR_SHARE_HPP

#include <map>

namespace masticshift::overload
{

/// Start-time fair queueing between priorities, by work.
///
/// Each priority has a tag: the work that it was given, divided by its weight.
/// Of the priorities with waiting jobs, the one with the smallest tag is served
/// first, and the more urgent one among equals. A priority that had no waiting
/// jobs continues at the smallest tag of the others: it is served first for as
/// long as it uses less than its share, but saves up no claim for later.
///
/// Work may be counted in any unit, always the same.
class fair_share
{
public:
    /// 4, 2, 1 for the priorities 0, 1, 2, and half as much for each further
    /// one, down to a bound.
    static double weight(int priority);

    /// The first job of the priority begins to wait.
    void activate(int priority);

    /// No job of the priority waits any more.
    void deactivate(int priority);

    /// The tag by which a new job of the priority would be served.
    double tag(int priority) const;

    /// Work of a job that was started. Without effect while no job waits.
    void charge(int priority, double work);

private:
    struct state
    {
        double tag = 0;
        bool active = false;
    };

    /// The smallest tag of the priorities with waiting jobs; 0 if there are
    /// none.
    double virtual_time() const;

    std::map<int, state> priorities_;
};

} // namespace masticshift::overload

#endif
