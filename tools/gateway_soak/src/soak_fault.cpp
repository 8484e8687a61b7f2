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

std::vector<planned_fault> plan_faults(std::mt19937& random,
                                       milliseconds length)
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
        fault.kind =
            static_cast<fault_kind>(pick(0, static_cast<int>(fault_kinds) - 1));
        fault.at = at;
        fault.length = milliseconds(pick(shortest_fault_ms, longest_fault_ms));
        fault.target = static_cast<std::size_t>(pick(0, 1'000));
        plan.push_back(fault);
        at += milliseconds(pick(0, 2 * mean_pause_ms));
    }
    return plan;
}

} // namespace masticshift::gateway_soak
