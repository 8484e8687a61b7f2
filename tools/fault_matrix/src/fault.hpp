#ifndef MASTICSHIFT_FAULT_MATRIX_FAULT_HPP
#define MASTICSHIFT_FAULT_MATRIX_FAULT_HPP

#include <core/time.hpp>
#include <history/checker.hpp>

#include <optional>
#include <span>
#include <string_view>

namespace masticshift::fault_matrix
{

enum class fault
{
    kill_entry,
    freeze_entry,
    kill_successor,
    freeze_successor,
    drain_successor,
    restart_without_platform,
    kill_endpoint,
    freeze_endpoint,
    cut_endpoint,
    cut_peers,
    cut_peers_one_way,
    cut_platform,
    isolate_entry,
    silent_endpoint,
    silent_peers,
    silent_platform,
    platform_down,
    platform_slow,
    platform_loses_answers,
    two_operators,
    endpoint_fails_all,
    stragglers,
    cancel_wave,
    endpoint_leaves,
    endpoint_leaves_unseen,
    crossed_answers,
    close_after_write,
    silent_after_write
};

struct fault_info
{
    fault kind;
    std::string_view name;
    /// Time between the start and the end of the fault.
    milliseconds length;
    /// The rule that this fault tests at every step. Empty if the step
    /// determines the rule.
    std::optional<history::rule> rule_under_test;
    /// Whether a configuration is applied during the fault.
    bool applies_configuration = false;
};

/// All faults, in the order of the enumeration.
std::span<fault_info const> faults();

fault_info const& info_of(fault kind);

} // namespace masticshift::fault_matrix

#endif
