#include <dispatch/peer_roster.hpp>

#include "stable_hash.hpp"

#include <dispatch/token.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace masticshift::dispatch
{

namespace
{

constexpr std::int64_t entry_mask = (std::int64_t(1) << token_entry_bits) - 1;

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
    record_clock(address, {heartbeat.sender.incarnation, heartbeat.clock});
    record_origin(heartbeat, now);
    relay_.record(heartbeat.relayed, now);
    tried_.insert(address);
    for (auto const& claim : heartbeat.claims)
        highest_token_ = std::max(highest_token_, claim.token);
    for (auto const& each : heartbeat.relayed)
        highest_token_ = std::max(highest_token_, each.claim.token);
}

void peer_roster::record_origin(entry_heartbeat const& heartbeat,
                                time_point now)
{
    auto const& reading = heartbeat.last_reading;
    if (!reading)
        origins_.record(heartbeat.sender, now, now);
    else if (reading->incarnation == self_.incarnation &&
             reading->time <= reading_at(now))
        origins_.record(heartbeat.sender, time_point(reading->time), now);
}

bool peer_roster::record_job_from(entry_identity const& origin,
                                  time_point sent_after, time_point now)
{
    if (origin.address == self_.address)
        return origin.incarnation == self_.incarnation;
    add_candidate(origin.address, origin.data_centre);
    return liveness_.record_message(origin, sent_after, now);
}

void peer_roster::record_clock(std::string const& address,
                               clock_reading const& reading)
{
    auto& known = readings_[address];
    if (known.incarnation < reading.incarnation ||
        (known.incarnation == reading.incarnation && known.time < reading.time))
        known = reading;
}

clock_reading peer_roster::last_reading(std::string const& address) const
{
    auto const found = readings_.find(address);
    return found == readings_.end() ? clock_reading{} : found->second;
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
    auto const consider = [&](entry_identity const& entry,
                              dispatch_claim const& claim, time_point sent)
    {
        if (claim.retiring)
            return;
        cell_dispatcher const considered{entry.address, claim,
                                         since(sent, now)};
        auto const [found, added] = best.try_emplace(claim.cell, considered);
        auto& known = found->second;
        if (added)
            return;
        // A claim that was passed on may be newer than one from its holder.
        bool const same = known.address == entry.address;
        bool const contested = known.contested || !same;
        if (same ? considered.age < known.age : known.claim.token < claim.token)
            known = considered;
        known.contested = contested;
    };
    for (auto const& claim : claims_)
        consider(self_, claim, now);
    for_each_dated_claim(now, consider);
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

std::int64_t peer_roster::next_token(std::int64_t unix_seconds) const
{
    return token_of_claim(std::max(claim_number_of(highest_token_) + 1,
                                   claim_number_at(unix_seconds)));
}

std::int64_t peer_roster::token_of_claim(std::int64_t claim_number) const
{
    auto const entry =
        static_cast<std::int64_t>(stable_hash(self_.address)) & entry_mask;
    return (std::min(claim_number, largest_claim_number) << token_claim_shift) |
           entry;
}

void peer_roster::record_token(std::int64_t token)
{
    highest_token_ = std::max(highest_token_, token);
}

bool peer_roster::wants_job(entry_identity const& entry, time_point sent_after,
                            time_point now) const
{
    if (entry.address == self_.address)
        return entry.incarnation == self_.incarnation;
    return is_alive(entry, now) && origins_.wants_job(entry, sent_after, now);
}

bool peer_roster::was_paused(time_point now) const
{
    return liveness_.was_paused(now);
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

void peer_roster::set_evacuations_version(std::int64_t version)
{
    evacuations_version_ = version;
}

entry_heartbeat peer_roster::own_heartbeat(time_point now) const
{
    entry_heartbeat heartbeat;
    heartbeat.sender = self_;
    heartbeat.leaving = leaving_;
    heartbeat.clock = reading_at(now);
    heartbeat.claims = claims_;
    heartbeat.configuration_version = configuration_version_;
    heartbeat.evacuations_version = evacuations_version_;
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
    heartbeat.withdrawals = withdrawals_.open(address);
    heartbeat.last_reading = withdrawals_.fits_heartbeat(address)
                                 ? last_reading(address)
                                 : clock_reading{};
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
    // The ends of callers' connections may not have been read yet.
    response.last_reading = clock_reading{};
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

std::optional<std::string>
peer_roster::peer_with_evacuations(time_point now) const
{
    std::optional<std::string> best;
    auto highest = evacuations_version_;
    for (auto const& [address, known] : liveness_.peers())
    {
        auto const version = known.heartbeat.evacuations_version;
        if (version <= highest || !liveness_.is_alive(known, now))
            continue;
        best = address;
        highest = version;
    }
    return best;
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
