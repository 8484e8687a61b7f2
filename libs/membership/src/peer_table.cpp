#include <membership/peer_table.hpp>

#include "item_digest.hpp"

#include <algorithm>
#include <utility>

namespace masticshift::membership
{

namespace
{

/// Late heartbeats come only from the most recent earlier incarnations.
constexpr std::size_t max_earlier_incarnations = 4;

/// Maximum number of loads that are kept of one peer. The loads of services
/// that a configuration revision removed are only dropped by this limit or when
/// the peer restarts.
constexpr std::ptrdiff_t max_loads = 256;

/// Number of entries of a data centre that send heartbeats to another one.
constexpr std::size_t senders_per_data_centre = 2;

bool is_late(peer_state const& peer, heartbeat const& beat)
{
    if (beat.sender.incarnation == peer.incarnation)
        return beat.sequence <= peer.sequence;
    return std::ranges::find(peer.earlier_incarnations,
                             beat.sender.incarnation) !=
           peer.earlier_incarnations.end();
}

void remember_incarnation(peer_state& peer)
{
    auto& earlier = peer.earlier_incarnations;
    earlier.push_back(peer.incarnation);
    if (earlier.size() > max_earlier_incarnations)
        earlier.erase(earlier.begin());
}

void merge_loads(peer_state& peer, std::vector<service_load> const& loads)
{
    for (auto const& load : loads)
    {
        auto const known =
            std::ranges::find(peer.loads, load.service, &service_load::service);
        if (known == peer.loads.end())
            peer.loads.push_back(load);
        else
            *known = load;
    }
    if (std::ssize(peer.loads) > max_loads)
        peer.loads.erase(peer.loads.begin(), peer.loads.end() - max_loads);
}

void apply_heartbeat(peer_state& peer, heartbeat const& beat, time_point now)
{
    if (peer.incarnation != beat.sender.incarnation)
        peer.loads.clear();
    merge_loads(peer, beat.loads);
    peer.data_centre = beat.data_centre;
    peer.incarnation = beat.sender.incarnation;
    peer.generation = beat.generation;
    peer.revision = beat.revision;
    peer.draining = beat.draining;
    peer.sequence = beat.sequence;
    peer.last_heartbeat = now;
    peer.last_failed = time_point::min();
}

} // namespace

std::string_view name_of(heartbeat_result result)
{
    switch (result)
    {
    case heartbeat_result::known:
        return "known";
    case heartbeat_result::joined:
        return "joined";
    case heartbeat_result::restarted:
        return "restarted";
    case heartbeat_result::returned:
        return "returned";
    case heartbeat_result::stale:
        return "stale";
    case heartbeat_result::refused:
        break;
    }
    return "refused";
}

peer_table::peer_table(process_id self, std::string data_centre,
                       peer_table_settings settings)
    : self_(std::move(self)),
      data_centre_(std::move(data_centre)),
      settings_(settings)
{
}

peer_state* peer_table::add(std::string const& address)
{
    auto const found = peers_.find(address);
    if (found != peers_.end())
        return &found->second;
    if (address == self_.address || peers_.size() >= settings_.max_peers)
        return nullptr;
    auto& peer = peers_[address];
    peer.address = address;
    return &peer;
}

void peer_table::set_configured(std::vector<std::string> const& addresses)
{
    for (auto& [address, peer] : peers_)
        peer.configured = false;
    for (auto const& address : addresses)
    {
        if (auto* const peer = add(address))
            peer->configured = true;
    }
}

void peer_table::set_listed(std::vector<listed_entry> const& entries)
{
    for (auto& [address, peer] : peers_)
    {
        peer.listed = false;
        peer.leaving = false;
    }
    for (auto const& entry : entries)
    {
        auto* const peer = add(entry.address);
        if (peer == nullptr)
            continue;
        peer->listed = true;
        peer->leaving = entry.leaving;
        if (peer->data_centre.empty())
            peer->data_centre = entry.data_centre;
    }
}

heartbeat_result peer_table::receive(heartbeat const& beat, time_point now)
{
    auto* const peer = add(beat.sender.address);
    if (peer == nullptr)
        return heartbeat_result::refused;
    auto const first = peer->sequence == 0 && peer->incarnation == 0;
    if (!first && is_late(*peer, beat))
        return heartbeat_result::stale;
    auto const was_live = is_live(*peer, now);
    auto const same = peer->incarnation == beat.sender.incarnation;
    if (!first && !same)
        remember_incarnation(*peer);
    apply_heartbeat(*peer, beat, now);
    if (first)
        return heartbeat_result::joined;
    if (!same)
        return heartbeat_result::restarted;
    return was_live ? heartbeat_result::known : heartbeat_result::returned;
}

void peer_table::record_failed_call(std::string const& address, time_point now)
{
    auto const found = peers_.find(address);
    if (found != peers_.end())
        found->second.last_failed = now;
}

std::vector<std::string> peer_table::expire(time_point now)
{
    std::vector<std::string> forgotten;
    for (auto const& [address, peer] : peers_)
    {
        auto const named = peer.configured || peer.listed;
        if (!named && now >= dead_at(peer) + settings_.forget_after)
            forgotten.push_back(address);
    }
    for (auto const& address : forgotten)
        peers_.erase(address);
    return forgotten;
}

bool peer_table::known(std::string const& address) const
{
    return peers_.contains(address);
}

peer_state const* peer_table::find(std::string const& address) const
{
    auto const found = peers_.find(address);
    return found == peers_.end() ? nullptr : &found->second;
}

std::map<std::string, peer_state, std::less<>> const& peer_table::all() const
{
    return peers_;
}

bool peer_table::in_own_data_centre(peer_state const& peer) const
{
    return peer.data_centre == data_centre_;
}

bool peer_table::in_other_data_centre(peer_state const& peer) const
{
    return !peer.data_centre.empty() && !in_own_data_centre(peer);
}

time_point peer_table::dead_at(peer_state const& peer) const
{
    if (peer.last_heartbeat == time_point::min())
        return time_point::min();
    auto const own_limit = peer.last_heartbeat + settings_.dead_after;
    if (in_own_data_centre(peer))
        return own_limit;
    if (peer.last_failed > peer.last_heartbeat)
        return peer.last_failed;
    return own_limit + rotation_intervals * settings_.heartbeat_interval;
}

bool peer_table::is_live(peer_state const& peer, time_point now) const
{
    return peer.last_heartbeat != time_point::min() && now < dead_at(peer);
}

std::vector<peer_state const*> peer_table::live(time_point now) const
{
    peer_list found;
    for (auto const& [address, peer] : peers_)
    {
        if (is_live(peer, now))
            found.push_back(&peer);
    }
    return found;
}

std::vector<peer_state const*> peer_table::live_in(std::string_view data_centre,
                                                   time_point now) const
{
    auto found = live(now);
    std::erase_if(found,
                  [data_centre](auto const* peer)
                  {
                      return peer->data_centre != data_centre;
                  });
    return found;
}

std::map<std::string, peer_table::peer_list, std::less<>>
peer_table::other_data_centres() const
{
    std::map<std::string, peer_list, std::less<>> others;
    for (auto const& [address, peer] : peers_)
    {
        if (in_other_data_centre(peer))
            others[peer.data_centre].push_back(&peer);
    }
    return others;
}

bool peer_table::should_call(peer_state const& peer, time_point now) const
{
    auto const late =
        call_after_missed_intervals * settings_.heartbeat_interval;
    if (peer.last_heartbeat == time_point::min() ||
        now >= peer.last_heartbeat + late)
        return true;
    auto const& first = std::min(self_.address, peer.address);
    auto const& second = std::max(self_.address, peer.address);
    auto const digest = item_digest().add(first).add(second).value();
    auto const first_calls = digest % 2 == 0;
    return first_calls == (first == self_.address);
}

std::vector<std::string> peer_table::heartbeat_targets(std::int64_t round,
                                                       time_point now) const
{
    auto const others =
        std::ranges::count_if(peers_,
                              [this](auto const& entry)
                              {
                                  return in_other_data_centre(entry.second);
                              });
    auto const direct = std::cmp_less_equal(others, direct_peers);
    std::vector<std::string> targets;
    for (auto const& [address, peer] : peers_)
    {
        if ((direct || !in_other_data_centre(peer)) && should_call(peer, now))
            targets.push_back(address);
    }
    if (!direct)
        add_receivers(targets, round, now);
    return targets;
}

std::size_t peer_table::own_rank(time_point now, std::size_t& members) const
{
    auto const peers = live_in(data_centre_, now);
    members = peers.size() + 1;
    return static_cast<std::size_t>(
        std::ranges::count_if(peers,
                              [this](auto const* peer)
                              {
                                  return peer->address < self_.address;
                              }));
}

void peer_table::add_receivers(std::vector<std::string>& targets,
                               std::int64_t round, time_point now) const
{
    std::size_t members = 0;
    auto const rank = own_rank(now, members);
    std::size_t first_sender = 0;
    for (auto const& [data_centre, peers] : other_data_centres())
    {
        for (std::size_t i = 0; i < senders_per_data_centre; ++i)
        {
            auto const sender = (first_sender + i) % members;
            if (sender != rank)
                continue;
            auto const receivers = without_recent_failure(peers, now);
            // The two senders of a data centre start half the list apart.
            auto const start =
                i * receivers.size() / senders_per_data_centre + rank;
            auto const at =
                (start + static_cast<std::size_t>(round)) % receivers.size();
            targets.push_back(receivers[at]->address);
            break;
        }
        first_sender += senders_per_data_centre;
    }
}

peer_table::peer_list peer_table::without_recent_failure(peer_list const& peers,
                                                         time_point now) const
{
    peer_list found;
    for (auto const* peer : peers)
    {
        auto const failed_recently =
            peer->last_failed != time_point::min() &&
            now < peer->last_failed + settings_.dead_after;
        if (!failed_recently)
            found.push_back(peer);
    }
    return found.empty() ? peers : found;
}

isolation_view peer_table::isolation(time_point now) const
{
    isolation_view view;
    view.known = peers_.size();
    view.live = live(now).size();
    view.isolated = view.known > 0 && view.live == 0;
    for (auto const& [data_centre, peers] : other_data_centres())
    {
        auto const reachable =
            std::ranges::any_of(peers,
                                [this, now](auto const* peer)
                                {
                                    return is_live(*peer, now);
                                });
        if (!reachable)
            view.unreachable_data_centres.push_back(data_centre);
    }
    return view;
}

process_id const& peer_table::self() const
{
    return self_;
}

std::string const& peer_table::data_centre() const
{
    return data_centre_;
}

} // namespace masticshift::membership
