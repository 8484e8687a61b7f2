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
    new_configuration,
    refuse_endpoint_link,
    reset_endpoint_link,
    one_way_endpoint_link,
    held_orders,
    hold_peer_link,
    evacuate_data_centre
};

constexpr std::size_t fault_kinds = 25;

/// Which kinds of faults a run draws from.
enum class fault_set
{
    all,
    handovers,
    links,
    abandoned_jobs,
    evacuations,
    /// The kinds before `refuse_endpoint_link`: some regression seeds were
    /// recorded with them.
    first
};

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

/// The kinds of a set. A kind that is listed twice is drawn twice as often.
/// `handovers` has the faults that do not keep a gateway from reading the
/// store, so that no endpoint may get new work long after its report that it
/// drains. In `links`, links to endpoints that work on fail while endpoints
/// restart under their ids and orders are held up. In `abandoned_jobs`, jobs
/// reach their dispatchers or entries after those who sent them have given up.
/// In `evacuations`, data centres are evacuated while entries and the store
/// fail; the other sets do without, as their seeds were recorded before.
std::vector<fault_kind> faults_of(fault_set set);

/// Draws the faults of a run at random from these kinds, ordered by time.
std::vector<planned_fault> plan_faults(std::mt19937& random,
                                       milliseconds length,
                                       std::vector<fault_kind> const& kinds);

} // namespace masticshift::gateway_soak

#endif
