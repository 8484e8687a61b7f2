#include <overload/demand_estimator.hpp>

#include <overload/fair_share.hpp>

#include <algorithm>
#include <cmath>

namespace masticshift::overload
{

namespace
{

/// Time constant of the averages. Demand rises and falls in waves of some ten
/// seconds, and a cell gets a few large jobs a second at the least.
constexpr milliseconds memory{1'000};

} // namespace

double demand_estimator::work_left(average const& each, time_point now)
{
    auto const age = to_milliseconds(std::max(now - each.updated, duration(0)));
    return each.work * std::exp(-age / to_milliseconds(memory));
}

void demand_estimator::add(int priority, double work, time_point now)
{
    auto& each = priorities_[priority];
    each.work = work_left(each, now) + work;
    each.updated = now;
}

double demand_estimator::demand(int priority, time_point now) const
{
    auto const found = priorities_.find(priority);
    return found == priorities_.end()
               ? 0
               : work_left(found->second, now) / to_milliseconds(memory);
}

double demand_estimator::total(time_point now) const
{
    double sum = 0;
    for (auto const& [priority, each] : priorities_)
        sum += demand(priority, now);
    return sum;
}

std::map<int, double> demand_estimator::demands(time_point now) const
{
    std::map<int, double> all;
    for (auto const& [priority, each] : priorities_)
        all[priority] = demand(priority, now);
    return all;
}

double demand_estimator::rate(int priority, double capacity,
                              time_point now) const
{
    auto others = demands(now);
    others.erase(priority);
    auto const own = fair_share::weight(priority);
    auto left = capacity;
    // Priorities that use less than their share leave the rest to the others.
    // Each round finds at least one of them, or ends.
    while (true)
    {
        double weights = own;
        for (auto const& [other, demand] : others)
            weights += fair_share::weight(other);
        auto const share = left / weights;
        bool found = false;
        for (auto each = others.begin(); each != others.end();)
        {
            if (each->second <= share * fair_share::weight(each->first))
            {
                left -= each->second;
                each = others.erase(each);
                found = true;
            }
            else
            {
                ++each;
            }
        }
        if (!found)
            return share * own;
    }
}

} // namespace masticshift::overload
