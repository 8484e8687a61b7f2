#include <overload/fair_share.hpp>

#include <algorithm>
#include <cmath>

namespace masticshift::overload
{

namespace
{

constexpr double first_weight = 4;

/// Bounds the quotient of weights; deployments have a handful of priorities.
constexpr int last_halving = 16;

} // namespace

double fair_share::weight(int priority)
{
    return std::ldexp(first_weight, -std::clamp(priority, 0, last_halving));
}

double fair_share::virtual_time() const
{
    double smallest = 0;
    bool found = false;
    for (auto const& [priority, each] : priorities_)
    {
        if (!each.active || (found && each.tag >= smallest))
            continue;
        smallest = each.tag;
        found = true;
    }
    return smallest;
}

double fair_share::tag(int priority) const
{
    auto const found = priorities_.find(priority);
    if (found == priorities_.end())
        return virtual_time();
    return found->second.active ? found->second.tag
                                : std::max(found->second.tag, virtual_time());
}

void fair_share::activate(int priority)
{
    auto const tag = this->tag(priority);
    priorities_[priority] = {tag, true};
}

void fair_share::deactivate(int priority)
{
    auto const found = priorities_.find(priority);
    if (found == priorities_.end())
        return;
    found->second.active = false;
    bool const any_active = std::ranges::any_of(priorities_,
                                                [](auto const& each)
                                                {
                                                    return each.second.active;
                                                });
    // Nobody had to wait for the work done so far.
    if (!any_active)
        priorities_.clear();
}

void fair_share::charge(int priority, double work)
{
    if (priorities_.empty())
        return;
    auto const tag = this->tag(priority);
    priorities_[priority].tag = tag + work / weight(priority);
}

} // namespace masticshift::overload
