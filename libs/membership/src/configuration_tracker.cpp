#include <membership/configuration_tracker.hpp>

#include <algorithm>

namespace masticshift::membership
{

void configuration_tracker::record_announced(configuration_source const& source,
                                             std::uint64_t revision,
                                             time_point now)
{
    auto& state = sources_[source];
    if (revision > state.revision)
    {
        state.pause = milliseconds{0};
        state.next_try = time_point::min();
    }
    state.revision = revision;
    state.seen_at = now;
}

bool configuration_tracker::can_fetch(source_state const& state,
                                      time_point now) const
{
    return state.revision > in_force_ && !rejected_.contains(state.revision) &&
           now >= state.next_try;
}

std::optional<configuration_fetch>
configuration_tracker::start_fetch(time_point now)
{
    if (running_ && now < running_->started + fetch_limit)
        return std::nullopt;
    if (running_)
        fetch_failed(configuration_source(running_->source), now);
    std::optional<configuration_fetch> best;
    bool best_is_peer = false;
    for (auto const& [source, state] : sources_)
    {
        if (!can_fetch(state, now))
            continue;
        auto const is_peer = !source.is_platform();
        auto const better =
            !best || state.revision > best->revision ||
            (state.revision == best->revision && is_peer && !best_is_peer);
        if (!better)
            continue;
        best = configuration_fetch{source, state.revision};
        best_is_peer = is_peer;
    }
    if (best)
        running_ = running_fetch{best->source, now};
    return best;
}

void configuration_tracker::fetch_failed(configuration_source const& source,
                                         time_point now)
{
    if (running_ && running_->source == source)
        running_.reset();
    auto const found = sources_.find(source);
    if (found == sources_.end())
        return;
    auto& state = found->second;
    state.pause = state.pause.count() == 0 ? first_pause : state.pause * 2;
    state.pause = std::min(state.pause, longest_pause);
    state.next_try = now + state.pause;
}

void configuration_tracker::reject(std::uint64_t revision)
{
    rejected_.insert(revision);
    if (rejected_.size() > max_rejected)
        rejected_.erase(rejected_.begin());
    running_.reset();
}

bool configuration_tracker::put_in_force(std::uint64_t revision)
{
    running_.reset();
    if (revision <= in_force_)
        return false;
    in_force_ = revision;
    return true;
}

std::uint64_t configuration_tracker::in_force() const
{
    return in_force_;
}

std::uint64_t configuration_tracker::highest_seen() const
{
    auto highest = in_force_;
    for (auto const& [source, state] : sources_)
        highest = std::max(highest, state.revision);
    return highest;
}

bool configuration_tracker::ready() const
{
    return in_force_ > 0;
}

void configuration_tracker::forget(configuration_source const& source)
{
    sources_.erase(source);
    if (running_ && running_->source == source)
        running_.reset();
}

} // namespace masticshift::membership
