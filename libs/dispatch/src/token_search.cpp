#include <dispatch/token_search.hpp>

#include <dispatch/token.hpp>

#include <algorithm>

namespace masticshift::dispatch
{

bool token_search::is_due(rejections const& rejected, time_point now)
{
    // An endpoint that has accepted a token and rejects it now was taken over
    // by another dispatcher. The search has succeeded there.
    if (active_ && rejected.unaccepted == 0)
        active_ = now - tried_ < response_time;
    else if (active_)
        return now - tried_ >= try_interval;
    return !active_ && rejected.all > 0 &&
           (began_ == time_point{} || now - began_ >= search_interval);
}

std::int64_t token_search::next_claim(std::int64_t rejected,
                                      std::int64_t clock_claim, time_point now)
{
    if (!active_)
    {
        active_ = true;
        began_ = now;
        base_ = std::max(rejected, clock_claim - 1);
        distance_ = 0;
    }
    tried_ = now;
    distance_ = std::max(distance_ + 1, distance_ + distance_ * 3 / 4);
    distance_ = std::min(distance_, largest_claim_number);
    return std::min(base_ + distance_, largest_claim_number);
}

} // namespace masticshift::dispatch
