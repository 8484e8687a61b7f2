#include <dispatch/peer_roster.hpp>

#include "stable_hash.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace masticshift::dispatch
{

namespace
{

/// A peer without a heartbeat for this long counts as dead. Four heartbeat
/// intervals, so that three heartbeats may be lost; and short enough to stop
/// the runs of its jobs before callers resend these after 1,300 ms.
constexpr milliseconds dead_after{450};

/// Time after the start in which an entry claims no cell, so that it learns of
/// the present dispatchers first: two heartbeat intervals if every candidate
/// was tried by then, otherwise long enough for hanging connections to fail a
/// few times.
constexpr milliseconds short_discovery_time{200};
constexpr milliseconds discovery_time{1'000};

/// Entries of other data centres claim a cell only after the time that a
/// process takes to restart, so that the entries of its own data centre can
/// claim it.
constexpr milliseconds foreign_claim_delay{1'500};

/// When a network partition between data centres ends, endpoints may be
/// reachable before the heartbeat of their dispatcher is received. With eight
/// cells at most, the dispatcher is sent a heartbeat within 800 ms, and it
/// reconnects within 300 ms.
constexpr milliseconds foreign_reach_delay{1'100};

/// A cell is handed back to its data centre when an entry there has been alive
/// for this long.
constexpr milliseconds stable_after{1'000};

/// Number of live entries that receive each heartbeat: dispatchers, and those
/// that may succeed them. The others receive heartbeats in rotation.
constexpr std::size_t fixed_targets = 8;

/// A token consists of an epoch in the high bits and a hash of the entry's
/// address in the low ones.
constexpr int entry_bits = 24;
constexpr std::int64_t entry_mask = (std::int64_t(1) << entry_bits) - 1;

/// Epochs count from 2026, so that tokens stay exact as JSON numbers (53 bits).
constexpr std::int64_t first_epoch_second = 1'767'225'600;

/// Entries with more processor first; ties are broken by a hash that is equal
/// in all processes.
auto rank_of(entry_identity const& entry)
{
    return std::tuple(-entry.processor, stable_hash(entry.address));
}

/// The order in which entries claim a cell.
auto rank_for(std::string const& cell, std::string const& data_centre,
              entry_identity const& entry,
              std::vector<dispatch_claim> const& claims)
{
    return std::tuple(entry.data_centre != data_centre, !claims.empty(),
                      -entry.processor, stable_hash(cell + entry.address));
}

} // namespace

peer_roster::peer_roster(entry_identity self, time_point started)
    : self_(std::move(self)), started_(started)
{
}

void peer_roster::add_candidate(std::string const& address)
{
    if (address != self_.address)
        candidates_.insert(address);
}

void peer_roster::record_heartbeat(entry_heartbeat const& heartbeat,
                                   time_point now)
{
    auto const& address = heartbeat.sender.address;
    if (address == self_.address)
        return;
    candidates_.insert(address);
    for (auto const& known : heartbeat.known)
        add_candidate(known.address);
    highest_token_ = std::max(highest_token_, heartbeat.highest_token);
    auto& entry = peers_[address];
    auto const former = entry.heartbeat.sender;
    if (former.incarnation > heartbeat.sender.incarnation)
        return;
    if (former.incarnation != 0 &&
        former.incarnation != heartbeat.sender.incarnation && !entry.ended)
        ended_.push_back(former);
    auto const since = is_alive(entry, now) && former.incarnation ==
                                                   heartbeat.sender.incarnation
                           ? entry.alive_since
                           : now;
    entry = {heartbeat, now, since, false};
    tried_.insert(address);
    for (auto const& claim : heartbeat.claims)
        highest_token_ = std::max(highest_token_, claim.token);
}

void peer_roster::record_connection_refused(std::string const& address)
{
    auto const found = peers_.find(address);
    if (found != peers_.end())
        found->second.last_received = {};
}

void peer_roster::record_unanswered(std::string const& address)
{
    tried_.insert(address);
}

void peer_roster::record_directory_read()
{
    directory_read_ = true;
}

bool peer_roster::discovery_done(time_point now) const
{
    if (now - started_ >= discovery_time)
        return true;
    return now - started_ >= short_discovery_time && directory_read_ &&
           std::ranges::includes(tried_, candidates_);
}

bool peer_roster::has_stable_entry(std::string const& data_centre,
                                   time_point now) const
{
    return std::ranges::any_of(
        peers_,
        [&](auto const& each)
        {
            auto const& known = each.second;
            return known.heartbeat.sender.data_centre == data_centre &&
                   !known.heartbeat.leaving && is_alive(known, now) &&
                   now - known.alive_since >= stable_after;
        });
}

bool peer_roster::is_alive(peer const& known, time_point now) const
{
    return known.last_received != time_point{} &&
           now - known.last_received <= dead_after;
}

bool peer_roster::is_alive(std::string const& address, time_point now) const
{
    if (address == self_.address)
        return true;
    auto const found = peers_.find(address);
    return found != peers_.end() && is_alive(found->second, now);
}

std::vector<entry_identity> peer_roster::take_ended_entries(time_point now)
{
    for (auto& [address, known] : peers_)
    {
        if (known.ended || is_alive(known, now))
            continue;
        known.ended = true;
        ended_.push_back(known.heartbeat.sender);
    }
    return std::exchange(ended_, {});
}

std::vector<std::string> peer_roster::targets(time_point now)
{
    std::vector<peer const*> alive;
    std::vector<std::string> unresponsive;
    std::vector<std::string> unresponsive_dispatchers;
    for (auto const& address : candidates_)
    {
        auto const found = peers_.find(address);
        if (found != peers_.end() && is_alive(found->second, now))
        {
            alive.push_back(&found->second);
            continue;
        }
        unresponsive.push_back(address);
        if (found != peers_.end() && !found->second.heartbeat.claims.empty())
            unresponsive_dispatchers.push_back(address);
    }
    std::ranges::sort(alive, {},
                      [](peer const* each)
                      {
                          return std::tuple(each->heartbeat.claims.empty(),
                                            rank_of(each->heartbeat.sender));
                      });
    if (!discovery_done(now))
        return {candidates_.begin(), candidates_.end()};
    std::vector<std::string> chosen;
    for (std::size_t i = 0; i < std::min(alive.size(), fixed_targets); ++i)
        chosen.push_back(alive[i]->heartbeat.sender.address);
    ++rotation_;
    if (alive.size() > fixed_targets)
    {
        auto const rest = alive.size() - fixed_targets;
        chosen.push_back(
            alive[fixed_targets + rotation_ % rest]->heartbeat.sender.address);
    }
    if (!unresponsive.empty())
        chosen.push_back(unresponsive[rotation_ % unresponsive.size()]);
    // After a network partition, contact with the dispatchers on the other side
    // has to be restored first.
    if (!unresponsive_dispatchers.empty())
        chosen.push_back(
            unresponsive_dispatchers[rotation_ %
                                     unresponsive_dispatchers.size()]);
    return chosen;
}

template <class Function>
void peer_roster::for_each_claim(time_point now, Function const& function) const
{
    for (auto const& [address, known] : peers_)
    {
        if (!is_alive(known, now))
            continue;
        for (auto const& claim : known.heartbeat.claims)
            function(known.heartbeat.sender, claim);
    }
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
    for (auto const& each : dispatchers(now))
    {
        if (each.claim.cell == cell)
            return each.address;
    }
    return std::nullopt;
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

std::optional<time_point> peer_roster::orphaned_since(std::string const& cell,
                                                      time_point now)
{
    if (own_claim(cell) == nullptr && !dispatcher_of(cell, now))
        return orphaned_since_.try_emplace(cell, now).first->second;
    orphaned_since_.erase(cell);
    reachable_since_.erase(cell);
    return std::nullopt;
}

bool peer_roster::may_claim_foreign(std::string const& cell,
                                    time_point orphaned, time_point now) const
{
    auto const reachable = reachable_since_.find(cell);
    if (reachable == reachable_since_.end())
        return false;
    // The heartbeats of a retiring dispatcher are received, so it is neither
    // restarting nor behind a network partition, and no delay is needed.
    return is_retiring(cell, now) ||
           (now - orphaned >= foreign_claim_delay &&
            now - reachable->second >= foreign_reach_delay);
}

bool peer_roster::should_probe(std::string const& cell,
                               std::string const& data_centre, time_point now)
{
    return self_.data_centre != data_centre && !leaving_ &&
           discovery_done(now) && orphaned_since(cell, now);
}

void peer_roster::record_probe(std::string const& cell, bool reachable,
                               time_point now)
{
    if (reachable)
        reachable_since_.try_emplace(cell, now);
    else
        reachable_since_.erase(cell);
}

bool peer_roster::should_claim(std::string const& cell,
                               std::string const& data_centre, time_point now)
{
    auto const orphaned = orphaned_since(cell, now);
    if (!orphaned || leaving_ || !discovery_done(now))
        return false;
    if (self_.data_centre != data_centre &&
        !may_claim_foreign(cell, *orphaned, now))
        return false;
    auto const own = rank_for(cell, data_centre, self_, claims_);
    return std::ranges::all_of(
        peers_,
        [&](auto const& each)
        {
            auto const& heartbeat = each.second.heartbeat;
            return heartbeat.leaving || !is_alive(each.second, now) ||
                   own < rank_for(cell, data_centre, heartbeat.sender,
                                  heartbeat.claims);
        });
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
    std::vector<entry_identity> alive;
    for (auto const& [address, known] : peers_)
    {
        if (is_alive(known, now))
            alive.push_back(known.heartbeat.sender);
    }
    if (!alive.empty())
        heartbeat.known.push_back(alive[rotation_ % alive.size()]);
    return heartbeat;
}

std::int64_t peer_roster::newest_configuration() const
{
    auto newest = configuration_version_;
    for (auto const& [address, known] : peers_)
        newest = std::max(newest, known.heartbeat.configuration_version);
    return newest;
}

std::optional<std::string>
peer_roster::peer_with_configuration(std::int64_t version, time_point now) const
{
    for (auto const& [address, known] : peers_)
    {
        if (is_alive(known, now) &&
            known.heartbeat.configuration_version >= version)
            return address;
    }
    return std::nullopt;
}

std::optional<std::string> peer_roster::next_live_peer(time_point now)
{
    std::vector<std::string> alive;
    for (auto const& [address, known] : peers_)
    {
        if (is_alive(known, now) && !known.heartbeat.leaving)
            alive.push_back(address);
    }
    if (alive.empty())
        return std::nullopt;
    return alive[++rotation_ % alive.size()];
}

std::size_t peer_roster::alive_count(time_point now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(peers_,
                              [&](auto const& each)
                              {
                                  return is_alive(each.second, now);
                              }));
}

} // namespace masticshift::dispatch
