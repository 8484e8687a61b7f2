#include <dispatch/peer_roster.hpp>

#include "stable_hash.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace masticshift::dispatch
{

namespace
{

/// A peer that was not heard of for this long counts as dead. Four intervals of
/// the signs of life, so that three may be lost; and early enough that what its
/// jobs run is stopped before their callers send them again after 1,300 ms.
constexpr milliseconds dead_after{450};

/// Time after the start in which an entry only listens, so that it hears of the
/// dispatchers that are already there: two intervals of the signs of life if
/// every other entry was tried by then, and else until connections that hang
/// have failed a few times.
constexpr milliseconds short_settle_time{200};
constexpr milliseconds settle_time{1'000};

/// The entries of a data centre take their own cells. Those of others step in
/// after the time in which a process starts again.
constexpr milliseconds foreign_claim_delay{1'500};

/// When a cut between data centres ends, endpoints can be reached before their
/// dispatcher has been heard of again. Its entry is sent a sign of life within
/// 800 ms, as there are eight cells at most, and connects again within 300 ms.
constexpr milliseconds foreign_reach_delay{1'100};

/// A cell goes back to its data centre when an entry there has lived this long.
constexpr milliseconds stable_after{1'000};

/// Entries that everyone stays in touch with: the dispatcher and those that may
/// follow it.
constexpr std::size_t watched_entries = 8;

/// A token is a number of an epoch and, below it, a number of the entry.
constexpr int entry_bits = 24;
constexpr std::int64_t entry_mask = (std::int64_t(1) << entry_bits) - 1;

/// Tokens have to be exact in JSON, so that epochs count from 2026.
constexpr std::int64_t first_epoch_second = 1'767'225'600;

/// Larger entries first, then an order that is the same everywhere.
auto rank_of(entry_identity const& entry)
{
    return std::tuple(-entry.processor, stable_hash(entry.address));
}

/// The order in which entries take on a cell.
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

void peer_roster::record_heartbeat(entry_heartbeat const& sign, time_point now)
{
    auto const& address = sign.sender.address;
    if (address == self_.address)
        return;
    candidates_.insert(address);
    for (auto const& known : sign.known)
        add_candidate(known.address);
    highest_token_ = std::max(highest_token_, sign.highest_token);
    auto& entry = peers_[address];
    auto const former = entry.sign.sender;
    if (former.incarnation > sign.sender.incarnation)
        return;
    if (former.incarnation != 0 &&
        former.incarnation != sign.sender.incarnation && !entry.ended)
        ended_.push_back(former);
    auto const since =
        is_alive(entry, now) && former.incarnation == sign.sender.incarnation
            ? entry.alive_since
            : now;
    entry = {sign, now, since, false};
    tried_.insert(address);
    for (auto const& claim : sign.claims)
        highest_token_ = std::max(highest_token_, claim.token);
}

void peer_roster::refused(std::string const& address)
{
    auto const found = peers_.find(address);
    if (found != peers_.end())
        found->second.heard = {};
}

void peer_roster::note_unanswered(std::string const& address)
{
    tried_.insert(address);
}

void peer_roster::note_directory_read()
{
    directory_read_ = true;
}

bool peer_roster::has_listened(time_point now) const
{
    if (now - started_ >= settle_time)
        return true;
    return now - started_ >= short_settle_time && directory_read_ &&
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
            return known.sign.sender.data_centre == data_centre &&
                   !known.sign.leaving && is_alive(known, now) &&
                   now - known.alive_since >= stable_after;
        });
}

bool peer_roster::is_alive(peer const& known, time_point now) const
{
    return known.heard != time_point{} && now - known.heard <= dead_after;
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
        ended_.push_back(known.sign.sender);
    }
    return std::exchange(ended_, {});
}

std::vector<std::string> peer_roster::targets(time_point now)
{
    std::vector<peer const*> alive;
    std::vector<std::string> silent;
    std::vector<std::string> silent_dispatchers;
    for (auto const& address : candidates_)
    {
        auto const found = peers_.find(address);
        if (found != peers_.end() && is_alive(found->second, now))
        {
            alive.push_back(&found->second);
            continue;
        }
        silent.push_back(address);
        if (found != peers_.end() && !found->second.sign.claims.empty())
            silent_dispatchers.push_back(address);
    }
    std::ranges::sort(alive, {},
                      [](peer const* each)
                      {
                          return std::tuple(each->sign.claims.empty(),
                                            rank_of(each->sign.sender));
                      });
    if (!has_listened(now))
        return {candidates_.begin(), candidates_.end()};
    std::vector<std::string> chosen;
    for (std::size_t i = 0; i < std::min(alive.size(), watched_entries); ++i)
        chosen.push_back(alive[i]->sign.sender.address);
    ++turn_;
    if (alive.size() > watched_entries)
    {
        auto const rest = alive.size() - watched_entries;
        chosen.push_back(
            alive[watched_entries + turn_ % rest]->sign.sender.address);
    }
    if (!silent.empty())
        chosen.push_back(silent[turn_ % silent.size()]);
    // After a cut, the other side's dispatchers have to be heard first.
    if (!silent_dispatchers.empty())
        chosen.push_back(silent_dispatchers[turn_ % silent_dispatchers.size()]);
    return chosen;
}

template <class Function>
void peer_roster::for_each_claim(time_point now, Function const& function) const
{
    for (auto const& [address, known] : peers_)
    {
        if (!is_alive(known, now))
            continue;
        for (auto const& claim : known.sign.claims)
            function(known.sign.sender, claim);
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
    bool rival = false;
    for_each_claim(now,
                   [&](entry_identity const&, dispatch_claim const& claim)
                   {
                       rival = rival || claim.cell == cell;
                   });
    return rival;
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
    // A dispatcher that retires announces it: nobody is about to start, and it
    // has been heard.
    return is_retiring(cell, now) ||
           (now - orphaned >= foreign_claim_delay &&
            now - reachable->second >= foreign_reach_delay);
}

bool peer_roster::should_probe(std::string const& cell,
                               std::string const& data_centre, time_point now)
{
    return self_.data_centre != data_centre && !leaving_ && has_listened(now) &&
           orphaned_since(cell, now);
}

void peer_roster::note_probe(std::string const& cell, bool reachable,
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
    if (!orphaned || leaving_ || !has_listened(now))
        return false;
    if (self_.data_centre != data_centre &&
        !may_claim_foreign(cell, *orphaned, now))
        return false;
    auto const own = rank_for(cell, data_centre, self_, claims_);
    return std::ranges::all_of(
        peers_,
        [&](auto const& each)
        {
            auto const& sign = each.second.sign;
            return sign.leaving || !is_alive(each.second, now) ||
                   own < rank_for(cell, data_centre, sign.sender, sign.claims);
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
    auto const standing =
        [&](entry_identity const& entry, dispatch_claim const& claim)
    {
        return std::tuple(entry.data_centre == data_centre, claim.endpoints,
                          claim.token);
    };
    for_each_claim(now,
                   [&](entry_identity const& entry, dispatch_claim const& claim)
                   {
                       if (claim.cell == cell && !claim.retiring &&
                           standing(entry, claim) > standing(self_, *own))
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

void peer_roster::note_unknown_token()
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
    entry_heartbeat sign;
    sign.sender = self_;
    sign.leaving = leaving_;
    sign.claims = claims_;
    sign.configuration_version = configuration_version_;
    sign.highest_token = highest_token_;
    // One known entry at a time is enough for news to get around in seconds.
    std::vector<entry_identity> alive;
    for (auto const& [address, known] : peers_)
    {
        if (is_alive(known, now))
            alive.push_back(known.sign.sender);
    }
    if (!alive.empty())
        sign.known.push_back(alive[turn_ % alive.size()]);
    return sign;
}

std::int64_t peer_roster::newest_configuration() const
{
    auto newest = configuration_version_;
    for (auto const& [address, known] : peers_)
        newest = std::max(newest, known.sign.configuration_version);
    return newest;
}

std::optional<std::string>
peer_roster::peer_with_configuration(std::int64_t version, time_point now) const
{
    for (auto const& [address, known] : peers_)
    {
        if (is_alive(known, now) && known.sign.configuration_version >= version)
            return address;
    }
    return std::nullopt;
}

std::optional<std::string> peer_roster::next_live_peer(time_point now)
{
    std::vector<std::string> alive;
    for (auto const& [address, known] : peers_)
    {
        if (is_alive(known, now) && !known.sign.leaving)
            alive.push_back(address);
    }
    if (alive.empty())
        return std::nullopt;
    return alive[++turn_ % alive.size()];
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
