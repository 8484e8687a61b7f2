#include <homes/submission_router.hpp>

#include <algorithm>
#include <utility>

namespace masticshift::homes
{

std::string_view name_of(route_kind kind)
{
    switch (kind)
    {
    case route_kind::local:
        return "local";
    case route_kind::inherited:
        return "inherited";
    case route_kind::forward:
        return "forward";
    case route_kind::unknown_home:
        break;
    }
    return "unknown_home";
}

submission_router::submission_router(submission_router_options options,
                                     inherited_tables const& inherited)
    : options_(std::move(options)), inherited_(&inherited)
{
}

void submission_router::set_peers(std::set<std::string> addresses)
{
    peers_ = std::move(addresses);
}

void submission_router::learn_succession(process_name const& stopped,
                                         std::string successor, time_point now)
{
    if (stopped == options_.self)
        return;
    successions_.insert_or_assign(stopped,
                                  succession{std::move(successor), now});
    if (successions_.size() > options_.max_successions)
        remove_stalest_succession();
}

void submission_router::expire(time_point now)
{
    std::erase_if(successions_,
                  [&](auto const& item)
                  {
                      return now - item.second.last_reported >=
                             options_.succession_retention;
                  });
}

route submission_router::find_route(submission_id const& id,
                                    call_origin origin) const
{
    auto const home = home_process_of(id.home);
    if (home == options_.self)
        return {route_kind::local, {}};
    if (inherited_->holds(home))
        return {route_kind::inherited, {}};
    if (origin == call_origin::peer)
        return {route_kind::unknown_home, {}};
    auto const known = successions_.find(home);
    if (known != successions_.end())
        return forward_to(known->second.successor);
    return forward_to(home.address);
}

route submission_router::forward_to(std::string const& address) const
{
    // An id with this entry's address and another incarnation belongs to an
    // earlier process at this address, which has ended.
    bool const known =
        address != options_.self.address && peers_.contains(address);
    if (!known)
        return {route_kind::unknown_home, {}};
    return {route_kind::forward, address};
}

void submission_router::remove_stalest_succession()
{
    auto const stalest =
        std::ranges::min_element(successions_, {},
                                 [](auto const& item)
                                 {
                                     return item.second.last_reported;
                                 });
    successions_.erase(stalest);
}

} // namespace masticshift::homes
