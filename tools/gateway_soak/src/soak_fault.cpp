#include "soak_fault.hpp"

#include <algorithm>
#include <array>

namespace masticshift::gateway_soak
{

namespace
{

constexpr std::array<std::string_view, fault_kinds> names{
    "kill_gateway",          "pause_gateway",        "stop_gateway",
    "hang_up_gateway",       "cut_peer_link",        "silence_peer_link",
    "delay_peer_link",       "cut_store_link",       "store_down",
    "store_silent",          "store_slow",           "history_gone",
    "lost_orders",           "late_orders",          "failed_runs",
    "silent_endpoint",       "restarted_endpoint",   "draining_endpoint",
    "new_configuration",     "refuse_endpoint_link", "reset_endpoint_link",
    "one_way_endpoint_link", "held_orders",          "hold_peer_link",
    "evacuate_data_centre"};

constexpr auto first_evacuation =
    static_cast<std::size_t>(fault_kind::evacuate_data_centre);

constexpr auto first_endpoint_link_fault =
    static_cast<std::size_t>(fault_kind::refuse_endpoint_link);

std::vector<fault_kind> faults_before(std::size_t end)
{
    std::vector<fault_kind> kinds;
    for (std::size_t i = 0; i < end; ++i)
        kinds.push_back(static_cast<fault_kind>(i));
    return kinds;
}

/// Mean time between the starts of two faults.
constexpr int mean_pause_ms = 500;
constexpr int shortest_fault_ms = 100;
constexpr int longest_fault_ms = 3'000;

/// Evacuations last this many times as long, so that most of them outlast the
/// time in which they must take effect.
constexpr int evacuation_factor = 5;

} // namespace

std::string_view name_of(fault_kind kind)
{
    return names.at(static_cast<std::size_t>(kind));
}

std::vector<fault_kind> faults_of(fault_set set)
{
    using enum fault_kind;
    switch (set)
    {
    case fault_set::all:
        return faults_before(first_evacuation);
    case fault_set::first:
        return faults_before(first_endpoint_link_fault);
    case fault_set::handovers:
        return {kill_gateway,      kill_gateway,      stop_gateway,
                stop_gateway,      hang_up_gateway,   history_gone,
                lost_orders,       failed_runs,       restarted_endpoint,
                draining_endpoint, draining_endpoint, new_configuration};
    case fault_set::links:
        return {
            refuse_endpoint_link, refuse_endpoint_link, refuse_endpoint_link,
            reset_endpoint_link,  reset_endpoint_link,  one_way_endpoint_link,
            held_orders,          held_orders,          restarted_endpoint,
            late_orders,          kill_gateway,         pause_gateway};
    case fault_set::abandoned_jobs:
        return {hold_peer_link, hold_peer_link, hold_peer_link, pause_gateway,
                pause_gateway,  cut_peer_link,  kill_gateway};
    case fault_set::evacuations:
        return {
            evacuate_data_centre, evacuate_data_centre, evacuate_data_centre,
            kill_gateway,         stop_gateway,         pause_gateway,
            pause_gateway,        cut_peer_link,        cut_store_link,
            cut_store_link,       store_down,           store_silent,
            store_slow,           history_gone,         lost_orders,
            restarted_endpoint};
    }
    return {};
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
        if (fault.kind == fault_kind::evacuate_data_centre)
            fault.length *= evacuation_factor;
        fault.target = static_cast<std::size_t>(pick(0, 1'000));
        plan.push_back(fault);
        at += milliseconds(pick(0, 2 * mean_pause_ms));
    }
    return plan;
}

} // namespace masticshift::gateway_soak
