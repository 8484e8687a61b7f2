#include <dispatch/submission_guard.hpp>

#include <algorithm>

namespace masticshift::dispatch
{

bool submission_guard::is_outdated(clock_reading const& last_reading,
                                   entry_identity const& self,
                                   bool origin_current, time_point now)
{
    if (last_reading.incarnation != self.incarnation)
        return true;
    auto const age = reading_at(now) - last_reading.time;
    return age < milliseconds(0) ||
           age >= (origin_current ? longest_age : longest_first_age);
}

void submission_guard::record_withdrawal(std::string const& origin,
                                         std::string const& job,
                                         std::int64_t submission,
                                         time_point now)
{
    forget_old(now);
    job_key key{origin, job};
    auto& known = withdrawn_[key];
    known.submission = std::max(known.submission, submission);
    known.recorded = now;
    recorded_.emplace_back(now, std::move(key));
}

bool submission_guard::is_withdrawn(std::string const& origin,
                                    std::string const& job,
                                    std::int64_t submission, time_point now)
{
    forget_old(now);
    auto const found = withdrawn_.find({origin, job});
    return found != withdrawn_.end() && submission <= found->second.submission;
}

void submission_guard::forget_old(time_point now)
{
    // A submission was sent before its withdrawal, so that it is outdated once
    // the withdrawal is that old.
    while (!recorded_.empty() && now - recorded_.front().first > longest_age)
    {
        auto const found = withdrawn_.find(recorded_.front().second);
        if (found != withdrawn_.end() &&
            found->second.recorded == recorded_.front().first)
            withdrawn_.erase(found);
        recorded_.pop_front();
    }
}

} // namespace masticshift::dispatch
