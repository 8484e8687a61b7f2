#include "soak_fault.hpp"

#include <algorithm>
#include <array>

namespace masticshift::gateway_soak
{

namespace
{

constexpr std::array<std::string_view, fault_kinds> names{
    "kill_gateway",     "pause_gateway",      "stop_gateway",
    "hang_up_gateway",  "cut_peer_link",      "silence_peer_link",
    "delay_peer_link",  "cut_store_link",     "store_down",
    "store_silent",     "store_slow",         "history_gone",
    "lost_orders",      "late_orders",        "failed_runs",
    "silent_endpoint",  "restarted_endpoint", "draining_endpoint",
    "new_configuration"};

/// Mean time between the starts of two faults.
constexpr int mean_pause_ms = 500;
constexpr int shortest_fault_ms = 100;
constexpr int longest_fault_ms = 3'000;

} // namespace

std::string_view name_of(fault_kind kind)
{
    return names.at(static_cast<std::size_t>(kind));
}

std::vector<fault_kind> all_faults()
{
    std::vector<fault_kind> kinds;
    for (std::size_t i = 0; i < fault_kinds; ++i)
        kinds.push_back(static_cast<fault_kind>(i));
    return kinds;
}

std::vector<fault_kind> handover_faults()
{
    using enum fault_kind;
    // A kind that is listed twice is drawn twice as often.
    return {kill_gateway,      kill_gateway,      stop_gateway,
            stop_gateway,      hang_up_gateway,   history_gone,
            lost_orders,       failed_runs,       restarted_endpoint,
            draining_endpoint, draining_endpoint, new_configuration};
}

std::vector<planned_fault> plan_faults(std::mt19937& random,
                                       milliseconds length,
                                       std::vector<fault_kind> const& kinds)
{
    auto const pick = [&](int least, int most)
    {
        return std::uniform_int_distribution(least, most)(random);
    };
    std::vector<planned_fault> plan;
    milliseconds at{pick(0, mean_pause_ms)};
    while (at < length)
    {
        planned_fault fault;
        auto const drawn = pick(0, static_cast<int>(kinds.size()) - 1);
        fault.kind = kinds[static_cast<std::size_t>(drawn)];
        fault.at = at;
        fault.length = milliseconds(pick(shortest_fault_ms, longest_fault_ms));
        fault.target = static_cast<std::size_t>(pick(0, 1'000));
        plan.push_back(fault);
        at += milliseconds(pick(0, 2 * mean_pause_ms));
    }
    return plan;
}

} // namespace masticshift::gateway_soak
