#include <dispatch/withdrawal_list.hpp>

#include <algorithm>
#include <utility>

namespace masticshift::dispatch
{

namespace
{

/// A dispatcher that has received no heartbeat of this entry for this long has
/// cancelled its jobs long ago.
constexpr milliseconds longest_open{4'500};

} // namespace

void withdrawal_list::add(std::string const& dispatcher,
                          job_withdrawal withdrawal, time_point now)
{
    open_[dispatcher].push_back({std::move(withdrawal), now});
}

duration
withdrawal_list::acknowledge(std::string const& dispatcher,
                             std::vector<job_withdrawal> const& received,
                             time_point now)
{
    auto const found = open_.find(dispatcher);
    if (found == open_.end())
        return {};
    duration longest{0};
    std::erase_if(found->second,
                  [&](entry const& each)
                  {
                      if (std::ranges::find(received, each.withdrawal) ==
                          received.end())
                          return false;
                      longest = std::max(longest, now - each.begun);
                      return true;
                  });
    if (found->second.empty())
        open_.erase(found);
    return longest;
}

std::vector<job_withdrawal>
withdrawal_list::open(std::string const& dispatcher) const
{
    std::vector<job_withdrawal> all;
    auto const found = open_.find(dispatcher);
    if (found == open_.end())
        return all;
    for (auto const& each : found->second)
    {
        if (all.size() == most_in_heartbeat)
            break;
        all.push_back(each.withdrawal);
    }
    return all;
}

bool withdrawal_list::contains(std::string const& dispatcher,
                               job_withdrawal const& withdrawal) const
{
    auto const found = open_.find(dispatcher);
    return found != open_.end() &&
           std::ranges::find(found->second, withdrawal, &entry::withdrawal) !=
               found->second.end();
}

bool withdrawal_list::fits_heartbeat(std::string const& dispatcher) const
{
    auto const found = open_.find(dispatcher);
    return found == open_.end() || found->second.size() <= most_in_heartbeat;
}

std::vector<std::string> withdrawal_list::dispatchers() const
{
    std::vector<std::string> all;
    for (auto const& [dispatcher, withdrawals] : open_)
        all.push_back(dispatcher);
    return all;
}

std::vector<withdrawal_list::unacknowledged>
withdrawal_list::take_expired(time_point now)
{
    std::vector<unacknowledged> expired;
    for (auto& of_dispatcher : open_)
    {
        std::erase_if(
            of_dispatcher.second,
            [&](entry const& each)
            {
                if (now - each.begun <= longest_open)
                    return false;
                expired.push_back({of_dispatcher.first, each.withdrawal});
                return true;
            });
    }
    std::erase_if(open_,
                  [](auto const& each)
                  {
                      return each.second.empty();
                  });
    return expired;
}

} // namespace masticshift::dispatch
