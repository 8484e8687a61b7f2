#include "recovery_phases.hpp"

#include <algorithm>

namespace masticshift::gateway
{

namespace
{

constexpr std::array phase_names{
    "configuration_read", "endpoints_read",  "first_peer",
    "first_claim",        "cell_taken",      "half_listed",
    "all_listed",         "first_placement", "full_rate"};

/// At full rate no job is refused for this long.
constexpr milliseconds full_rate_time{1'000};

/// After this time something is missing that frequent checks do not bring.
constexpr milliseconds longest_start{3'000};

} // namespace

char const* name_of(recovery_phase phase)
{
    return phase_names.at(static_cast<std::size_t>(phase));
}

bool recovery_phases::has_reached(recovery_phase phase) const
{
    return reached_.at(static_cast<std::size_t>(phase)).has_value();
}

void recovery_phases::reach(recovery_phase phase, time_point now)
{
    auto& at = reached_.at(static_cast<std::size_t>(phase));
    if (!at)
        at = now;
}

void recovery_phases::record_listed(std::size_t listed, std::size_t endpoints,
                                    time_point now)
{
    if (endpoints == 0)
        return;
    if (2 * listed >= endpoints)
        reach(recovery_phase::half_listed, now);
    if (listed == endpoints)
        reach(recovery_phase::all_listed, now);
}

void recovery_phases::record_refusal(time_point now)
{
    last_refusal_ = now;
}

bool recovery_phases::can_place() const
{
    return has_reached(recovery_phase::first_claim) &&
           (!has_reached(recovery_phase::cell_taken) ||
            has_reached(recovery_phase::half_listed));
}

bool recovery_phases::has_ended(time_point now)
{
    if (ended_)
        return false;
    if (can_place() && !has_reached(recovery_phase::full_rate))
    {
        auto const claimed =
            *reached_.at(static_cast<std::size_t>(recovery_phase::first_claim));
        auto const begin = std::max(claimed, last_refusal_.value_or(claimed));
        if (now - begin >= full_rate_time)
            reach(recovery_phase::full_rate, begin);
    }
    ended_ = has_reached(recovery_phase::full_rate) ||
             now - started_ >= longest_recovery;
    return ended_;
}

bool recovery_phases::is_starting(time_point now) const
{
    return !can_place() && now - started_ < longest_start;
}

std::optional<milliseconds> recovery_phases::reached(recovery_phase phase) const
{
    auto const& at = reached_.at(static_cast<std::size_t>(phase));
    if (!at)
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(*at - started_);
}

} // namespace masticshift::gateway
