#include <dispatch/cancelled_jobs.hpp>

#include <algorithm>

namespace masticshift::dispatch
{

bool cancelled_jobs::record(std::string const& id, time_point requested,
                            time_point now)
{
    forget_old(now);
    auto const [known, added] = requested_.try_emplace(id, requested);
    if (!added && known->second >= requested)
        return false;
    known->second = std::max(known->second, requested);
    recorded_.emplace_back(known->second, id);
    return added;
}

bool cancelled_jobs::contains(std::string const& id, time_point now) const
{
    auto const known = requested_.find(id);
    return known != requested_.end() && now - known->second <= retention;
}

void cancelled_jobs::forget_old(time_point now)
{
    while (!recorded_.empty() && (now - recorded_.front().first > retention ||
                                  recorded_.size() >= capacity))
    {
        auto const known = requested_.find(recorded_.front().second);
        if (known != requested_.end() &&
            known->second == recorded_.front().first)
            requested_.erase(known);
        recorded_.pop_front();
    }
}

} // namespace masticshift::dispatch
