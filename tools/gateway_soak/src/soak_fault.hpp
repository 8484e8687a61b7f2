#ifndef MASTICSHIFT_GATEWAY_SOAK_SOAK_FAULT_HPP
#define MASTICSHIFT_GATEWAY_SOAK_SOAK_FAULT_HPP

#include <core/time.hpp>

#include <cstddef>
#include <random>
#include <string_view>
#include <vector>

namespace masticshift::gateway_soak
{

enum class fault_kind
{
    kill_gateway,
    pause_gateway,
    stop_gateway,
    hang_up_gateway,
    cut_peer_link,
    silence_peer_link,
    delay_peer_link,
    cut_store_link,
    store_down,
    store_silent,
    store_slow,
    history_gone,
    lost_orders,
    late_orders,
    failed_runs,
    silent_endpoint,
    restarted_endpoint,
    draining_endpoint,
    new_configuration
};

constexpr std::size_t fault_kinds = 19;

std::string_view name_of(fault_kind kind);

/// One fault of a run. Faults may overlap.
struct planned_fault
{
    fault_kind kind = fault_kind::kill_gateway;
    milliseconds at{0};
    milliseconds length{0};
    /// Index of the gateway or endpoint, taken modulo their number.
    std::size_t target = 0;
};

/// All kinds of faults.
std::vector<fault_kind> all_faults();

/// Faults that do not keep a gateway from reading the store, so that no
/// endpoint may get new work long after its report that it drains.
std::vector<fault_kind> handover_faults();

/// Draws the faults of a run at random from these kinds, ordered by time.
std::vector<planned_fault> plan_faults(std::mt19937& random,
                                       milliseconds length,
                                       std::vector<fault_kind> const& kinds);

} // namespace masticshift::gateway_soak

#endif
