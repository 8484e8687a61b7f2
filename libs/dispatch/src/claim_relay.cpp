#include <dispatch/claim_relay.hpp>

#include <algorithm>

namespace masticshift::dispatch
{

namespace
{

/// A relayed claim expires one heartbeat interval and a half after the time at
/// which a peer counts as dead: it is that much older when it arrives.
constexpr milliseconds expires_after{600};

} // namespace

void claim_relay::record(std::vector<relayed_claim> const& claims,
                         time_point now)
{
    for (auto const& each : claims)
    {
        auto const sent = now - std::max(each.age, milliseconds(0));
        auto const [found, added] = entries_.try_emplace(
            std::pair(each.holder.address, each.claim.cell));
        auto& known = found->second;
        bool const newer =
            known.holder.incarnation < each.holder.incarnation ||
            (known.holder.incarnation == each.holder.incarnation &&
             known.sent < sent);
        if (added || newer)
            known = {each.holder, each.claim, sent};
    }
}

bool claim_relay::is_expired(entry const& known, time_point now)
{
    return now - known.sent > expires_after;
}

bool claim_relay::is_replaced(entry const& known, peer_liveness const& peers)
{
    auto const* const holder = peers.find(known.holder.address);
    if (holder == nullptr)
        return false;
    return holder->heartbeat.sender.incarnation > known.holder.incarnation ||
           holder->last_received >= known.sent;
}

void claim_relay::remove_expired(time_point now)
{
    std::erase_if(entries_,
                  [&](auto const& each)
                  {
                      return is_expired(each.second, now);
                  });
}

} // namespace masticshift::dispatch
