// Which cells `peer_roster` claims, probes and gives up.

#include <dispatch/peer_roster.hpp>

#include "entry_rank.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace masticshift::dispatch
{

namespace
{

/// Entries of other data centres claim a cell only after the time that a
/// process takes to restart, so that the entries of its own data centre can
/// claim it.
constexpr milliseconds foreign_claim_delay{1'500};

/// The same when the dispatcher has announced that it retires: time for the
/// claim of its successor to be passed on.
constexpr milliseconds retiring_claim_delay{400};

/// The additional delay for each data centre that comes before this one in
/// claiming the cell. One of them may be unable to reach the endpoints.
constexpr milliseconds next_data_centre_delay{1'000};

/// When a network partition between data centres ends, endpoints may be
/// reachable before the heartbeat of their dispatcher is received. With eight
/// cells at most, the dispatcher is sent a heartbeat within 800 ms, and it
/// reconnects within 300 ms.
constexpr milliseconds foreign_reach_delay{1'100};

/// A cell is handed back to its data centre when an entry there has been alive
/// for this long.
constexpr milliseconds stable_after{1'000};

} // namespace

peer_roster::cell_state&
peer_roster::update_cell(std::string const& cell,
                         std::string const& data_centre, time_point now)
{
    auto& state = cells_[cell];
    state.data_centre = data_centre;
    state.asked = now;
    if (own_claim(cell) != nullptr || dispatcher_of(cell, now))
    {
        state.orphaned_since.reset();
        state.reachable_since.reset();
    }
    else if (!state.orphaned_since)
    {
        state.orphaned_since = now;
    }
    return state;
}

bool peer_roster::has_orphaned_cell() const
{
    return std::ranges::any_of(
        cells_,
        [](auto const& each)
        {
            return each.second.orphaned_since.has_value();
        });
}

bool peer_roster::has_orphaned_local_cell() const
{
    return std::ranges::any_of(cells_,
                               [&](auto const& each)
                               {
                                   return each.second.orphaned_since &&
                                          each.second.data_centre ==
                                              self_.data_centre;
                               });
}

bool peer_roster::may_claim_foreign(std::string const& cell,
                                    cell_state const& state,
                                    time_point now) const
{
    if (!state.reachable_since)
        return false;
    // The heartbeats of a retiring dispatcher are received, so it is neither
    // restarting nor behind a network partition.
    if (is_retiring(cell, now))
        return !has_other_candidate(state.data_centre) ||
               now - *state.orphaned_since >= retiring_claim_delay;
    auto const delay = foreign_claim_delay +
                       next_data_centre_delay *
                           data_centres_before(cell, state.data_centre, now);
    return now - *state.orphaned_since >= delay &&
           now - *state.reachable_since >= foreign_reach_delay;
}

bool peer_roster::has_other_candidate(std::string const& data_centre) const
{
    return std::ranges::any_of(
        candidates_,
        [&](auto const& each)
        {
            if (each.second != data_centre)
                return false;
            auto const* const known = liveness_.find(each.first);
            return known == nullptr || !known->heartbeat.leaving;
        });
}

bool peer_roster::should_probe(std::string const& cell,
                               std::string const& data_centre, time_point now)
{
    return self_.data_centre != data_centre && !leaving_ &&
           discovery_done(now) &&
           update_cell(cell, data_centre, now).orphaned_since;
}

void peer_roster::record_probe(std::string const& cell, bool reachable,
                               time_point now)
{
    auto& known = cells_[cell];
    if (!reachable)
        known.reachable_since.reset();
    else if (!known.reachable_since)
        known.reachable_since = now;
}

std::vector<peer_roster::peer const*>
peer_roster::successors(std::string const& cell, time_point now) const
{
    using rank = decltype(rank_for(cell, self_, claims_));
    std::vector<std::pair<rank, peer const*>> ranked;
    for (auto const& [address, known] : liveness_.peers())
    {
        auto const& heartbeat = known.heartbeat;
        if (heartbeat.sender.data_centre == self_.data_centre &&
            !heartbeat.leaving &&
            liveness_.state_of(known, now) != peer_state::dead)
            ranked.emplace_back(
                rank_for(cell, heartbeat.sender, heartbeat.claims), &known);
    }
    std::ranges::sort(ranked);
    std::vector<peer const*> ordered;
    ordered.reserve(ranked.size());
    for (auto const& [ignored, known] : ranked)
        ordered.push_back(known);
    return ordered;
}

bool peer_roster::is_first_successor(std::string const& cell,
                                     time_point now) const
{
    auto const own = rank_for(cell, self_, claims_);
    return std::ranges::none_of(successors(cell, now),
                                [&](peer const* each)
                                {
                                    return rank_for(
                                               cell, each->heartbeat.sender,
                                               each->heartbeat.claims) < own;
                                });
}

std::size_t peer_roster::data_centres_before(std::string const& cell,
                                             std::string const& data_centre,
                                             time_point now) const
{
    std::set<std::string> before;
    auto const own = stable_hash(cell + self_.data_centre);
    for_each_claim(
        now,
        [&](entry_identity const& holder, dispatch_claim const& claim)
        {
            auto const& other = holder.data_centre;
            if (!claim.retiring && other != data_centre &&
                other != self_.data_centre && stable_hash(cell + other) < own)
                before.insert(other);
        });
    return before.size();
}

bool peer_roster::should_claim(std::string const& cell,
                               std::string const& data_centre, time_point now)
{
    auto const& state = update_cell(cell, data_centre, now);
    // After a pause, other entries may have claimed the cell without this one
    // having received it.
    if (!state.orphaned_since || leaving_ || !discovery_done(now) ||
        liveness_.was_paused(now))
        return false;
    if (self_.data_centre != data_centre &&
        !may_claim_foreign(cell, state, now))
        return false;
    return is_first_successor(cell, now);
}

bool peer_roster::should_retire(std::string const& cell,
                                std::string const& data_centre,
                                time_point now) const
{
    auto const* const own = own_claim(cell);
    if (own == nullptr || own->retiring)
        return false;
    bool retire = leaving_ || (self_.data_centre != data_centre &&
                               has_stable_entry(data_centre, now));
    auto const precedence =
        [&](entry_identity const& entry, dispatch_claim const& claim)
    {
        return std::tuple(entry.data_centre == data_centre, claim.endpoints,
                          claim.token);
    };
    for_each_claim(now,
                   [&](entry_identity const& entry, dispatch_claim const& claim)
                   {
                       if (claim.cell == cell && !claim.retiring &&
                           precedence(entry, claim) > precedence(self_, *own))
                           retire = true;
                   });
    return retire;
}

bool peer_roster::has_stable_entry(std::string const& data_centre,
                                   time_point now) const
{
    return std::ranges::any_of(
        liveness_.peers(),
        [&](auto const& each)
        {
            auto const& known = each.second;
            return known.heartbeat.sender.data_centre == data_centre &&
                   !known.heartbeat.leaving && liveness_.is_alive(known, now) &&
                   now - known.alive_since >= stable_after;
        });
}

} // namespace masticshift::dispatch
