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

/// A token consists of an epoch in the high bits and a hash of the entry's
/// address in the low ones.
constexpr int entry_bits = 24;
constexpr std::int64_t entry_mask = (std::int64_t(1) << entry_bits) - 1;

/// Epochs count from 2026, so that tokens stay exact as JSON numbers (53 bits).
constexpr std::int64_t first_epoch_second = 1'767'225'600;

milliseconds since(time_point earlier, time_point now)
{
    return std::chrono::duration_cast<milliseconds>(now - earlier);
}

} // namespace

peer_roster::peer_roster(entry_identity self, time_point started)
    : self_(std::move(self)), started_(started)
{
}

void peer_roster::add_candidate(std::string const& address,
                                std::string const& data_centre)
{
    if (address == self_.address)
        return;
    auto const [known, added] = candidates_.try_emplace(address, data_centre);
    if (!added && (data_centre.empty() || known->second == data_centre))
        return;
    known->second = data_centre;
    discovery_targets_.reset();
}

void peer_roster::record_heartbeat(entry_heartbeat const& heartbeat,
                                   time_point now)
{
    auto const& address = heartbeat.sender.address;
    if (address == self_.address)
        return;
    add_candidate(address, heartbeat.sender.data_centre);
    for (auto const& known : heartbeat.known)
        add_candidate(known.address, known.data_centre);
    highest_token_ = std::max(highest_token_, heartbeat.highest_token);
    if (!liveness_.record_heartbeat(heartbeat, now))
        return;
    relay_.record(heartbeat.relayed, now);
    tried_.insert(address);
    for (auto const& claim : heartbeat.claims)
        highest_token_ = std::max(highest_token_, claim.token);
    for (auto const& each : heartbeat.relayed)
        highest_token_ = std::max(highest_token_, each.claim.token);
}

bool peer_roster::record_job_from(entry_identity const& origin, time_point now)
{
    if (origin.address == self_.address)
        return origin.incarnation == self_.incarnation;
    add_candidate(origin.address, origin.data_centre);
    return liveness_.record_message(origin, now);
}

void peer_roster::record_connection_refused(std::string const& address)
{
    liveness_.record_connection_refused(address);
}

void peer_roster::record_unanswered(std::string const& address)
{
    tried_.insert(address);
}

void peer_roster::record_directory_read()
{
    directory_read_ = true;
}

void peer_roster::begin_job_at(std::string const& address)
{
    ++dependencies_[address].open_jobs;
}

void peer_roster::end_job_at(std::string const& address, time_point now)
{
    auto const found = dependencies_.find(address);
    if (found == dependencies_.end() || found->second.open_jobs == 0)
        return;
    --found->second.open_jobs;
    found->second.last_used = now;
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

bool peer_roster::is_alive(std::string const& address, time_point now) const
{
    if (address == self_.address)
        return true;
    auto const* const known = liveness_.find(address);
    return known != nullptr && liveness_.is_alive(*known, now);
}

bool peer_roster::is_alive(entry_identity const& entry, time_point now) const
{
    if (entry.address == self_.address)
        return entry.incarnation == self_.incarnation;
    auto const* const known = liveness_.find(entry.address);
    return known != nullptr && liveness_.is_alive(*known, now) &&
           known->heartbeat.sender.incarnation == entry.incarnation;
}

std::vector<entry_identity> peer_roster::take_ended_entries(time_point now)
{
    liveness_.observe(now);
    return liveness_.take_ended(now);
}

dispatch_claim const* peer_roster::own_claim(std::string const& cell) const
{
    auto const found = std::ranges::find(claims_, cell, &dispatch_claim::cell);
    return found == claims_.end() ? nullptr : &*found;
}

std::vector<cell_dispatcher> peer_roster::dispatchers(time_point now) const
{
    std::map<std::string, cell_dispatcher> best;
    auto const consider =
        [&](entry_identity const& entry, dispatch_claim const& claim)
    {
        if (claim.retiring)
            return;
        auto const known = best.find(claim.cell);
        if (known == best.end() || known->second.claim.token < claim.token)
            best[claim.cell] = {entry.address, claim};
    };
    for (auto const& claim : claims_)
        consider(self_, claim);
    for_each_claim(now, consider);
    std::vector<cell_dispatcher> all;
    all.reserve(best.size());
    for (auto& [cell, dispatcher] : best)
        all.push_back(std::move(dispatcher));
    return all;
}

std::optional<std::string> peer_roster::dispatcher_of(std::string const& cell,
                                                      time_point now) const
{
    std::optional<std::string> found;
    std::int64_t highest = 0;
    auto const consider =
        [&](entry_identity const& entry, dispatch_claim const& claim)
    {
        if (claim.retiring || claim.cell != cell ||
            (found && claim.token <= highest))
            return;
        found = entry.address;
        highest = claim.token;
    };
    for (auto const& claim : claims_)
        consider(self_, claim);
    for_each_claim(now, consider);
    return found;
}

bool peer_roster::is_retiring(std::string const& cell, time_point now) const
{
    bool retiring = false;
    for_each_claim(now,
                   [&](entry_identity const&, dispatch_claim const& claim)
                   {
                       retiring =
                           retiring || (claim.retiring && claim.cell == cell);
                   });
    return retiring;
}

bool peer_roster::has_other_dispatcher(std::string const& cell,
                                       time_point now) const
{
    bool found = false;
    for_each_claim(now,
                   [&](entry_identity const&, dispatch_claim const& claim)
                   {
                       found = found || claim.cell == cell;
                   });
    return found;
}

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
    // restarting nor behind a network partition, and no delay is needed.
    if (is_retiring(cell, now))
        return true;
    auto const delay = foreign_claim_delay +
                       next_data_centre_delay *
                           data_centres_before(cell, state.data_centre, now);
    return now - *state.orphaned_since >= delay &&
           now - *state.reachable_since >= foreign_reach_delay;
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

std::int64_t peer_roster::next_token(std::int64_t unix_seconds) const
{
    auto const epoch =
        std::max((highest_token_ >> entry_bits) + token_step_,
                 std::max<std::int64_t>(unix_seconds - first_epoch_second, 1));
    auto const entry =
        static_cast<std::int64_t>(stable_hash(self_.address)) & entry_mask;
    return (epoch << entry_bits) | entry;
}

void peer_roster::record_unknown_token()
{
    constexpr std::int64_t largest_step = 1 << 20;
    token_step_ = std::min(token_step_ * 2, largest_step);
}

void peer_roster::set_claims(std::vector<dispatch_claim> claims)
{
    claims_ = std::move(claims);
    for (auto const& claim : claims_)
        highest_token_ = std::max(highest_token_, claim.token);
}

void peer_roster::set_leaving()
{
    leaving_ = true;
}

void peer_roster::set_configuration_version(std::int64_t version)
{
    configuration_version_ = version;
}

entry_heartbeat peer_roster::own_heartbeat(time_point now) const
{
    entry_heartbeat heartbeat;
    heartbeat.sender = self_;
    heartbeat.leaving = leaving_;
    heartbeat.claims = claims_;
    heartbeat.configuration_version = configuration_version_;
    heartbeat.highest_token = highest_token_;
    // One known entry per heartbeat spreads all addresses within seconds.
    auto const* const known = liveness_.find(announced_);
    if (known != nullptr && liveness_.is_alive(*known, now))
        heartbeat.known.push_back(known->heartbeat.sender);
    return heartbeat;
}

entry_heartbeat peer_roster::heartbeat_to(std::string const& address,
                                          time_point now) const
{
    auto heartbeat = own_heartbeat(now);
    heartbeat.is_periodic = periodic_.contains(address);
    auto const* const known = liveness_.find(address);
    bool const local_dispatcher =
        known != nullptr && !known->heartbeat.claims.empty() &&
        known->heartbeat.sender.data_centre == self_.data_centre;
    heartbeat.wants_claims =
        local_dispatcher || has_orphaned_cell() || !discovery_done(now);
    return heartbeat;
}

entry_heartbeat peer_roster::response_to(entry_heartbeat const& heartbeat,
                                         time_point now) const
{
    auto response = own_heartbeat(now);
    response.is_periodic = periodic_.contains(heartbeat.sender.address);
    if (heartbeat.wants_claims)
        response.relayed = claims_to_relay(heartbeat.sender.address, now);
    return response;
}

std::vector<relayed_claim>
peer_roster::claims_to_relay(std::string const& receiver, time_point now) const
{
    std::vector<relayed_claim> all;
    for (auto const& address : liveness_.claimants())
    {
        auto const& known = *liveness_.find(address);
        if (address == receiver || !liveness_.is_alive(known, now))
            continue;
        for (auto const& claim : known.heartbeat.claims)
            all.push_back({known.heartbeat.sender, claim,
                           since(known.last_received, now)});
    }
    relay_.for_each(liveness_, now,
                    [&](entry_identity const& holder,
                        dispatch_claim const& claim, time_point sent)
                    {
                        if (holder.address != receiver)
                            all.push_back({holder, claim, since(sent, now)});
                    });
    return all;
}

std::int64_t peer_roster::newest_configuration() const
{
    auto newest = configuration_version_;
    for (auto const& [address, known] : liveness_.peers())
        newest = std::max(newest, known.heartbeat.configuration_version);
    return newest;
}

std::optional<std::string>
peer_roster::peer_with_configuration(std::int64_t version, time_point now) const
{
    for (auto const& [address, known] : liveness_.peers())
    {
        if (liveness_.is_alive(known, now) &&
            known.heartbeat.configuration_version >= version)
            return address;
    }
    return std::nullopt;
}

std::optional<std::string> peer_roster::next_live_peer(time_point now)
{
    std::vector<std::string> alive;
    for (auto const& [address, known] : liveness_.peers())
    {
        if (liveness_.is_alive(known, now) && !known.heartbeat.leaving)
            alive.push_back(address);
    }
    if (alive.empty())
        return std::nullopt;
    return alive[++rotation_ % alive.size()];
}

std::size_t peer_roster::alive_count(time_point now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(liveness_.peers(),
                              [&](auto const& each)
                              {
                                  return liveness_.is_alive(each.second, now);
                              }));
}

} // namespace masticshift::dispatch
