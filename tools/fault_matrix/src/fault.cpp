#include "fault.hpp"

#include <array>

namespace masticshift::fault_matrix
{

namespace
{

using history::rule;

constexpr milliseconds brief{500};
/// Longer than the time after which a peer counts as dead.
constexpr milliseconds longer{1'500};
/// Longer than the time in which news of it has to arrive.
constexpr milliseconds longest{4'000};

constexpr std::array table{
    fault_info{fault::kill_entry, "kill_entry", brief, {}},
    fault_info{fault::freeze_entry, "freeze_entry", longer, {}},
    fault_info{fault::kill_successor, "kill_successor", brief, {}},
    fault_info{fault::freeze_successor, "freeze_successor", longer, {}},
    fault_info{fault::drain_successor, "drain_successor", brief, {}},
    fault_info{fault::restart_without_platform, "restart_without_platform",
               brief, rule::configuration_in_force, true},
    fault_info{fault::kill_endpoint, "kill_endpoint", brief, {}},
    fault_info{fault::freeze_endpoint, "freeze_endpoint", longer, {}},
    fault_info{fault::cut_endpoint, "cut_endpoint", brief, {}},
    fault_info{fault::cut_peers, "cut_peers", longer, {}},
    fault_info{fault::cut_peers_one_way, "cut_peers_one_way", longer, {}},
    fault_info{fault::cut_platform, "cut_platform", longer,
               rule::configuration_in_force, true},
    fault_info{fault::isolate_entry, "isolate_entry", longer, {}, true},
    fault_info{fault::silent_endpoint, "silent_endpoint", brief, {}},
    fault_info{fault::silent_peers, "silent_peers", longer, {}},
    fault_info{fault::silent_platform, "silent_platform", brief,
               rule::configuration_in_force, true},
    fault_info{fault::platform_down, "platform_down", longer,
               rule::configuration_in_force, true},
    fault_info{fault::platform_slow, "platform_slow", longer,
               rule::configuration_in_force, true},
    fault_info{fault::platform_loses_answers, "platform_loses_answers", brief,
               rule::configuration_in_force, true},
    fault_info{fault::two_operators, "two_operators", brief,
               rule::configuration_in_force, true},
    fault_info{fault::endpoint_fails_all, "endpoint_fails_all", brief,
               rule::answer_complete},
    fault_info{fault::stragglers, "stragglers", brief, {}},
    fault_info{fault::cancel_wave, "cancel_wave", brief, {}},
    fault_info{fault::endpoint_leaves, "endpoint_leaves", longest,
               rule::leaving_endpoint_spared},
    fault_info{fault::endpoint_leaves_unseen, "endpoint_leaves_unseen", longest,
               rule::leaving_endpoint_spared},
    fault_info{fault::crossed_answers, "crossed_answers", brief,
               rule::answer_own},
    fault_info{fault::close_after_write, "close_after_write", brief, {}},
    fault_info{fault::silent_after_write, "silent_after_write", brief, {}}};

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
