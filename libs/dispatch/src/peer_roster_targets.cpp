// Which entries `peer_roster` sends heartbeats to.

#include <dispatch/peer_roster.hpp>

#include "entry_rank.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace masticshift::dispatch
{

namespace
{

/// Time after the start in which an entry claims no cell, so that it learns of
/// the present dispatchers first: two heartbeat intervals if every target was
/// tried by then, otherwise long enough for hanging connections to fail a few
/// times.
constexpr milliseconds short_discovery_time{200};
constexpr milliseconds discovery_time{1'000};

/// During discovery all candidates are contacted if there are not more than
/// this, otherwise all of the own data centre and a few of each other one.
constexpr std::size_t few_candidates = 16;
constexpr std::size_t discovery_targets_elsewhere = 2;

/// Least number of live entries that receive each heartbeat, if there are as
/// many.
constexpr std::size_t least_targets = 8;

/// Number of entries that are watched for each cell of the data centre, as they
/// would be the next to claim it.
constexpr std::size_t watched_successors = 2;

/// The same while a cell has no dispatcher: those of higher rank, whose state
/// has to be known before this entry may claim the cell.
constexpr std::size_t watched_when_orphaned = 16;

/// A dispatcher stays a target for this long after the last job there, because
/// the next one is likely to follow.
constexpr milliseconds dependency_linger{1'000};

/// A cell that nobody has asked about for this long does not exist any more.
constexpr milliseconds cell_forgotten_after{2'000};

} // namespace

bool peer_roster::discovery_done(time_point now) const
{
    if (now - started_ >= discovery_time)
        return true;
    if (now - started_ < short_discovery_time || !directory_read_)
        return false;
    return std::ranges::includes(tried_, discovery_targets());
}

std::set<std::string> const& peer_roster::discovery_targets() const
{
    if (!discovery_targets_)
        discovery_targets_ = choose_discovery_targets();
    return *discovery_targets_;
}

std::set<std::string> peer_roster::choose_discovery_targets() const
{
    std::set<std::string> chosen;
    std::map<std::string, std::vector<std::string>> elsewhere;
    for (auto const& [address, data_centre] : candidates_)
    {
        bool const always = candidates_.size() <= few_candidates ||
                            data_centre.empty() ||
                            data_centre == self_.data_centre;
        if (always)
            chosen.insert(address);
        else
            elsewhere[data_centre].push_back(address);
    }
    for (auto& [data_centre, addresses] : elsewhere)
    {
        std::ranges::sort(addresses, {},
                          [&](std::string const& address)
                          {
                              return stable_hash(self_.address + address);
                          });
        addresses.resize(
            std::min(addresses.size(), discovery_targets_elsewhere));
        chosen.insert(addresses.begin(), addresses.end());
    }
    return chosen;
}

std::vector<std::string> peer_roster::targets(time_point now)
{
    liveness_.observe(now);
    relay_.remove_expired(now);
    ++rotation_;
    choose_announced(now);
    if (!discovery_done(now))
    {
        auto const& all = discovery_targets();
        return {all.begin(), all.end()};
    }
    auto const former = std::exchange(periodic_, periodic_targets(now));
    liveness_.set_watched(periodic_, now);
    std::vector<std::string> chosen(periodic_.begin(), periodic_.end());
    // The last heartbeat tells the receiver that no further one is due.
    std::ranges::set_difference(former, periodic_, std::back_inserter(chosen));
    add_of_orphaned_cells(chosen);
    add_in_turn(chosen, periodic_, now);
    return chosen;
}

void peer_roster::choose_announced(time_point now)
{
    auto const& peers = liveness_.peers();
    auto next = peers.upper_bound(announced_);
    for (std::size_t i = 0; i < peers.size(); ++i, ++next)
    {
        if (next == peers.end())
            next = peers.begin();
        if (liveness_.is_alive(next->second, now))
        {
            announced_ = next->first;
            return;
        }
    }
}

std::set<std::string> peer_roster::periodic_targets(time_point now)
{
    std::set<std::string> chosen;
    add_dispatchers(chosen, now);
    add_dependencies(chosen, now);
    add_successors(chosen, now);
    add_overdue(chosen, now);
    fill_targets(chosen, now);
    chosen.erase(self_.address);
    return chosen;
}

void peer_roster::add_dispatchers(std::set<std::string>& chosen,
                                  time_point now) const
{
    auto const prefix = self_.data_centre + "/";
    for_each_claim(
        now,
        [&](entry_identity const& holder, dispatch_claim const& claim)
        {
            if (!claims_.empty() || claim.cell.starts_with(prefix))
                chosen.insert(holder.address);
        });
}

void peer_roster::add_dependencies(std::set<std::string>& chosen,
                                   time_point now)
{
    std::erase_if(dependencies_,
                  [&](auto const& each)
                  {
                      return each.second.open_jobs == 0 &&
                             now - each.second.last_used > dependency_linger;
                  });
    for (auto const& [address, dependency] : dependencies_)
        chosen.insert(address);
    for (auto& address : withdrawals_.dispatchers())
        chosen.insert(std::move(address));
}

void peer_roster::add_successors(std::set<std::string>& chosen, time_point now)
{
    std::erase_if(cells_,
                  [&](auto const& each)
                  {
                      return now - each.second.asked > cell_forgotten_after;
                  });
    for (auto const& [cell, state] : cells_)
    {
        if (state.data_centre != self_.data_centre)
            continue;
        auto const count =
            state.orphaned_since ? watched_when_orphaned : watched_successors;
        auto const next = successors(cell, now);
        for (std::size_t i = 0; i < std::min(next.size(), count); ++i)
            chosen.insert(next[i]->heartbeat.sender.address);
    }
}

void peer_roster::add_overdue(std::set<std::string>& chosen,
                              time_point now) const
{
    for (auto const& [address, known] : liveness_.peers())
    {
        if (liveness_.is_overdue(known, now))
            chosen.insert(address);
    }
}

void peer_roster::fill_targets(std::set<std::string>& chosen,
                               time_point now) const
{
    if (chosen.size() >= least_targets)
        return;
    // Each entry orders the others differently, so that all get equally many
    // heartbeats.
    auto const own_hash = stable_hash(self_.address);
    std::vector<std::tuple<bool, std::uint64_t, std::string>> others;
    for (auto const& [address, known] : liveness_.peers())
    {
        if (liveness_.is_alive(known, now) && !chosen.contains(address))
            others.emplace_back(known.heartbeat.claims.empty(),
                                known.hash ^ own_hash, address);
    }
    std::ranges::sort(others);
    for (auto const& [without_cell, hash, address] : others)
    {
        if (chosen.size() >= least_targets)
            return;
        chosen.insert(address);
    }
}

void peer_roster::add_of_orphaned_cells(std::vector<std::string>& chosen) const
{
    // Other entries learn of the dispatchers elsewhere from those of their data
    // centre.
    if (claims_.empty() && !has_orphaned_local_cell())
        return;
    std::map<std::string, std::vector<std::string>> by_data_centre;
    for (auto const& [cell, state] : cells_)
    {
        if (state.orphaned_since && state.data_centre != self_.data_centre)
            by_data_centre[state.data_centre];
    }
    if (by_data_centre.empty())
        return;
    for (auto const& [address, data_centre] : candidates_)
    {
        auto const found = by_data_centre.find(data_centre);
        if (found != by_data_centre.end())
            found->second.push_back(address);
    }
    for (auto const& [data_centre, addresses] : by_data_centre)
    {
        if (!addresses.empty())
            chosen.push_back(addresses[rotation_ % addresses.size()]);
    }
}

void peer_roster::add_in_turn(std::vector<std::string>& chosen,
                              std::set<std::string> const& periodic,
                              time_point now) const
{
    std::vector<std::string const*> others;
    std::vector<std::string const*> unresponsive;
    std::vector<std::string const*> unresponsive_dispatchers;
    for (auto const& [address, data_centre] : candidates_)
    {
        auto const* const known = liveness_.find(address);
        auto const state = known == nullptr ? peer_state::dead
                                            : liveness_.state_of(*known, now);
        if (state == peer_state::dead)
            unresponsive.push_back(&address);
        else if (!periodic.contains(address))
            others.push_back(&address);
        // After a network partition, contact with the dispatchers on the other
        // side has to be restored first.
        if (known != nullptr && state != peer_state::alive &&
            !known->heartbeat.claims.empty())
            unresponsive_dispatchers.push_back(&address);
    }
    for (auto const* list : {&others, &unresponsive, &unresponsive_dispatchers})
    {
        if (!list->empty())
            chosen.push_back(*(*list)[rotation_ % list->size()]);
    }
}

} // namespace masticshift::dispatch
