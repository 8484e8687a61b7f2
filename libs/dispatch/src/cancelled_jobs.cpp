#include <dispatch/cancelled_jobs.hpp>

namespace masticshift::dispatch
{

bool cancelled_jobs::record(std::string const& id, time_point requested,
                            time_point now)
{
    forget_old(now);
    auto const [known, added] = requested_.try_emplace(id);
    auto& last = known->second.requested;
    if (!added && last >= requested)
        return false;
    last = requested;
    recorded_.emplace_back(requested, id);
    return added;
}

bool cancelled_jobs::contains(std::string const& id, time_point now) const
{
    auto const known = requested_.find(id);
    return known != requested_.end() &&
           now - known->second.requested <= retention;
}

void cancelled_jobs::record_known(std::string const& id)
{
    auto const found = requested_.find(id);
    if (found != requested_.end())
        found->second.known = true;
}

bool cancelled_jobs::was_known(std::string const& id) const
{
    auto const found = requested_.find(id);
    return found != requested_.end() && found->second.known;
}

void cancelled_jobs::forget_old(time_point now)
{
    while (!recorded_.empty() && (now - recorded_.front().first > retention ||
                                  recorded_.size() >= capacity))
    {
        auto const known = requested_.find(recorded_.front().second);
        if (known != requested_.end() &&
            known->second.requested == recorded_.front().first)
            requested_.erase(known);
        recorded_.pop_front();
    }
}

} // namespace masticshift::dispatch
