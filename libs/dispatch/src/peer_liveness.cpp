#include <dispatch/peer_liveness.hpp>

#include "stable_hash.hpp"

#include <algorithm>
#include <utility>

namespace masticshift::dispatch
{

namespace
{

/// A peer without a heartbeat for this long counts as dead. Four heartbeat
/// intervals, so that three heartbeats may be lost; and short enough to stop
/// the runs of its jobs before callers resend these after 1,300 ms.
constexpr milliseconds dead_after{450};

/// A longer gap between two calls of `observe` means that the process was
/// paused or has too little processor time to judge its peers.
constexpr milliseconds longest_gap{300};

/// A periodic heartbeat is overdue after one and a half intervals.
constexpr milliseconds overdue_after{150};

} // namespace

bool peer_liveness::record_heartbeat(entry_heartbeat const& heartbeat,
                                     time_point now)
{
    auto& known = peers_[heartbeat.sender.address];
    auto const former = known.heartbeat.sender;
    if (former.incarnation > heartbeat.sender.incarnation)
        return false;
    bool const restarted = former.incarnation != 0 &&
                           former.incarnation != heartbeat.sender.incarnation;
    if (restarted && !known.end_reported)
        ended_.push_back(former);
    if (restarted || !is_alive(known, now))
        known.alive_since = now;
    known.heartbeat = heartbeat;
    known.heartbeat.relayed.clear();
    known.last_received = now;
    known.claimed = now;
    known.refused = false;
    known.end_reported = false;
    known.hash = stable_hash(heartbeat.sender.address);
    if (heartbeat.claims.empty())
        claimants_.erase(heartbeat.sender.address);
    else
        claimants_.insert(heartbeat.sender.address);
    return true;
}

bool peer_liveness::record_message(entry_identity const& sender,
                                   time_point sent_after, time_point now)
{
    auto const found = peers_.find(sender.address);
    if (found == peers_.end() ||
        found->second.heartbeat.sender.incarnation < sender.incarnation)
    {
        entry_heartbeat heartbeat;
        heartbeat.sender = sender;
        heartbeat.is_periodic = true;
        return record_heartbeat(heartbeat, sent_after);
    }
    auto& known = found->second;
    if (known.heartbeat.sender.incarnation > sender.incarnation)
        return false;
    if (!is_alive(known, now))
        known.alive_since = now;
    known.heartbeat.is_periodic = true;
    known.last_received = std::max(known.last_received, sent_after);
    known.refused = false;
    known.end_reported = false;
    return true;
}

void peer_liveness::record_connection_refused(std::string const& address)
{
    auto const found = peers_.find(address);
    if (found != peers_.end())
        found->second.refused = true;
}

void peer_liveness::observe(time_point now)
{
    if (observed_ && now - *observed_ > longest_gap)
        resumed_ = now;
    observed_ = now;
}

bool peer_liveness::was_paused(time_point now) const
{
    return resumed_ && now - *resumed_ <= dead_after;
}

void peer_liveness::set_watched(std::set<std::string> const& addresses,
                                time_point now)
{
    for (auto& [address, known] : peers_)
    {
        if (!addresses.contains(address))
            known.watched_since.reset();
        else if (!known.watched_since)
            known.watched_since = now;
    }
}

bool peer_liveness::is_alive(peer const& known, time_point now) const
{
    // A link that refuses connections one way says nothing about a peer whose
    // heartbeats arrive the other way.
    auto const limit = known.refused ? overdue_after : dead_after;
    return known.last_received != time_point{} &&
           now - known.last_received <= limit;
}

bool peer_liveness::is_overdue(peer const& known, time_point now) const
{
    return known.heartbeat.is_periodic && is_alive(known, now) &&
           now - known.last_received > overdue_after;
}

peer_state peer_liveness::state_of(peer const& known, time_point now) const
{
    if (is_alive(known, now))
        return peer_state::alive;
    if (known.refused)
        return peer_state::dead;
    if (was_paused(now))
        return peer_state::unknown;
    if (known.heartbeat.is_periodic)
        return peer_state::dead;
    if (known.watched_since && now - *known.watched_since > dead_after)
        return peer_state::dead;
    return peer_state::unknown;
}

peer_liveness::peer const* peer_liveness::find(std::string const& address) const
{
    auto const found = peers_.find(address);
    return found == peers_.end() ? nullptr : &found->second;
}

std::vector<entry_identity> peer_liveness::take_ended(time_point now)
{
    for (auto& [address, known] : peers_)
    {
        if (known.end_reported || state_of(known, now) != peer_state::dead)
            continue;
        known.end_reported = true;
        ended_.push_back(known.heartbeat.sender);
    }
    return std::exchange(ended_, {});
}

} // namespace masticshift::dispatch
