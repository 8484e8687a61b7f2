#include <dispatch/peer_roster.hpp>

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

/// Time after the start in which an entry only listens, so that it hears of a
/// dispatcher that is already there.
constexpr milliseconds settle_time{700};

/// Entries that everyone stays in touch with: the dispatcher and those that may
/// follow it.
constexpr std::size_t watched_entries = 8;

/// A token is a number of an epoch and, below it, a number of the entry.
constexpr int entry_bits = 24;
constexpr std::int64_t entry_mask = (std::int64_t(1) << entry_bits) - 1;

/// Tokens have to be exact in JSON, so that epochs count from 2026.
constexpr std::int64_t first_epoch_second = 1'767'225'600;

std::uint64_t fnv_hash(std::string const& text)
{
    std::uint64_t hash = 14'695'981'039'346'656'037ULL;
    for (unsigned char const byte : text)
        hash = (hash ^ byte) * 1'099'511'628'211ULL;
    return hash;
}

/// Larger entries first, then an order that is the same everywhere.
auto rank_of(entry_identity const& entry)
{
    return std::tuple(-entry.processor, fnv_hash(entry.address));
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

void peer_roster::heard(sign_of_life const& sign, time_point now)
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
    entry = {sign, now, false};
    if (sign.claim)
        highest_token_ = std::max(highest_token_, sign.claim->token);
}

void peer_roster::refused(std::string const& address)
{
    auto const found = peers_.find(address);
    if (found != peers_.end())
        found->second.heard = {};
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

std::vector<entry_identity> peer_roster::take_ended(time_point now)
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
    std::vector<std::string> others;
    for (auto const& address : candidates_)
    {
        auto const found = peers_.find(address);
        if (found != peers_.end() && is_alive(found->second, now))
            alive.push_back(&found->second);
        else
            others.push_back(address);
    }
    std::ranges::sort(alive, {},
                      [](peer const* each)
                      {
                          return std::tuple(!each->sign.claim.has_value(),
                                            rank_of(each->sign.sender));
                      });
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
    if (!others.empty())
        chosen.push_back(others[turn_ % others.size()]);
    return chosen;
}

std::optional<std::string> peer_roster::dispatcher(time_point now) const
{
    std::optional<std::string> best;
    std::int64_t best_token = -1;
    if (claim_ && !claim_->retiring)
    {
        best = self_.address;
        best_token = claim_->token;
    }
    for (auto const& [address, known] : peers_)
    {
        auto const& claim = known.sign.claim;
        if (!claim || claim->retiring || !is_alive(known, now) ||
            claim->token <= best_token)
            continue;
        best = address;
        best_token = claim->token;
    }
    return best;
}

std::optional<std::string>
peer_roster::retiring_dispatcher(time_point now) const
{
    for (auto const& [address, known] : peers_)
    {
        if (known.sign.claim && known.sign.claim->retiring &&
            is_alive(known, now))
            return address;
    }
    return std::nullopt;
}

bool peer_roster::has_rival(time_point now) const
{
    return std::ranges::any_of(peers_,
                               [&](auto const& each)
                               {
                                   return each.second.sign.claim &&
                                          is_alive(each.second, now);
                               });
}

bool peer_roster::outranks(entry_identity const& other) const
{
    return rank_of(self_) < rank_of(other);
}

bool peer_roster::should_claim(time_point now) const
{
    if (leaving_ || claim_ || now - started_ < settle_time ||
        dispatcher(now).has_value())
        return false;
    return std::ranges::all_of(peers_,
                               [&](auto const& each)
                               {
                                   return each.second.sign.leaving ||
                                          !is_alive(each.second, now) ||
                                          outranks(each.second.sign.sender);
                               });
}

bool peer_roster::should_retire(time_point now) const
{
    if (!claim_ || claim_->retiring)
        return false;
    if (leaving_)
        return true;
    auto const own = std::tuple(claim_->endpoints, claim_->token);
    return std::ranges::any_of(
        peers_,
        [&](auto const& each)
        {
            auto const& claim = each.second.sign.claim;
            return claim && !claim->retiring && is_alive(each.second, now) &&
                   std::tuple(claim->endpoints, claim->token) > own;
        });
}

std::int64_t peer_roster::next_token(std::int64_t unix_seconds) const
{
    auto const epoch =
        std::max((highest_token_ >> entry_bits) + token_step_,
                 std::max<std::int64_t>(unix_seconds - first_epoch_second, 1));
    auto const entry =
        static_cast<std::int64_t>(fnv_hash(self_.address)) & entry_mask;
    return (epoch << entry_bits) | entry;
}

void peer_roster::note_unknown_token()
{
    constexpr std::int64_t largest_step = 1 << 20;
    token_step_ = std::min(token_step_ * 2, largest_step);
}

void peer_roster::set_claim(std::optional<dispatch_claim> claim)
{
    claim_ = claim;
    if (claim)
        highest_token_ = std::max(highest_token_, claim->token);
}

void peer_roster::set_leaving()
{
    leaving_ = true;
}

void peer_roster::set_configuration_version(std::int64_t version)
{
    configuration_version_ = version;
}

sign_of_life peer_roster::own_sign(time_point now) const
{
    sign_of_life sign;
    sign.sender = self_;
    sign.leaving = leaving_;
    sign.claim = claim_;
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
peer_roster::holder_of_configuration(std::int64_t version, time_point now) const
{
    for (auto const& [address, known] : peers_)
    {
        if (is_alive(known, now) && known.sign.configuration_version >= version)
            return address;
    }
    return std::nullopt;
}

std::optional<std::string> peer_roster::some_peer(time_point now)
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
    return static_cast<std::size_t>(std::ranges::count_if(
        peers_,
        [&](auto const& each)
        {
            return is_alive(each.second, now);
        }));
}

} // namespace masticshift::dispatch
