#include "fault.hpp"

#include <array>

namespace masticshift::fault_matrix
{

namespace
{

using history::rule;

constexpr milliseconds short_length{500};
/// Longer than `dead_after_ms` of the entries, 1,000 ms.
constexpr milliseconds unresponsive_length{1'500};
/// Longer than the 3,000 ms within which all entries must learn that an
/// endpoint leaves (`leaving_bound` of the checker).
constexpr milliseconds leaving_length{4'000};

constexpr std::array table{
    fault_info{fault::kill_entry, "kill_entry", short_length, {}},
    fault_info{fault::freeze_entry, "freeze_entry", unresponsive_length, {}},
    fault_info{fault::kill_successor, "kill_successor", short_length, {}},
    fault_info{
        fault::freeze_successor, "freeze_successor", unresponsive_length, {}},
    fault_info{fault::drain_successor, "drain_successor", short_length, {}},
    fault_info{fault::restart_without_platform, "restart_without_platform",
               short_length, rule::configuration_in_force, true},
    fault_info{fault::kill_endpoint, "kill_endpoint", short_length, {}},
    fault_info{
        fault::freeze_endpoint, "freeze_endpoint", unresponsive_length, {}},
    fault_info{fault::cut_endpoint, "cut_endpoint", short_length, {}},
    fault_info{fault::cut_peers, "cut_peers", unresponsive_length, {}},
    fault_info{
        fault::cut_peers_one_way, "cut_peers_one_way", unresponsive_length, {}},
    fault_info{fault::cut_platform, "cut_platform", unresponsive_length,
               rule::configuration_in_force, true},
    fault_info{
        fault::isolate_entry, "isolate_entry", unresponsive_length, {}, true},
    fault_info{fault::silent_endpoint, "silent_endpoint", short_length, {}},
    fault_info{fault::silent_peers, "silent_peers", unresponsive_length, {}},
    fault_info{fault::silent_platform, "silent_platform", short_length,
               rule::configuration_in_force, true},
    fault_info{fault::platform_down, "platform_down", unresponsive_length,
               rule::configuration_in_force, true},
    fault_info{fault::platform_slow, "platform_slow", unresponsive_length,
               rule::configuration_in_force, true},
    fault_info{fault::platform_loses_answers, "platform_loses_answers",
               short_length, rule::configuration_in_force, true},
    fault_info{fault::two_operators, "two_operators", short_length,
               rule::configuration_in_force, true},
    fault_info{fault::endpoint_fails_all, "endpoint_fails_all", short_length,
               rule::answer_complete},
    fault_info{fault::stragglers, "stragglers", short_length, {}},
    fault_info{fault::cancel_wave, "cancel_wave", short_length, {}},
    fault_info{fault::endpoint_leaves, "endpoint_leaves", leaving_length,
               rule::leaving_endpoint_spared},
    fault_info{fault::endpoint_leaves_unseen, "endpoint_leaves_unseen",
               leaving_length, rule::leaving_endpoint_spared},
    fault_info{fault::crossed_answers, "crossed_answers", short_length,
               rule::answer_own},
    fault_info{fault::close_after_write, "close_after_write", short_length, {}},
    fault_info{
        fault::silent_after_write, "silent_after_write", short_length, {}}};

} // namespace

std::span<fault_info const> faults()
{
    return table;
}

fault_info const& info_of(fault kind)
{
    return table.at(static_cast<std::size_t>(kind));
}

} // namespace masticshift::fault_matrix
