#ifndef MASTICSHIFT_GATEWAY_GATEWAY_STATE_HPP
#define MASTICSHIFT_GATEWAY_GATEWAY_STATE_HPP

#include "caller_watch.hpp"
#include "gateway_metrics.hpp"
#include "input_delay.hpp"
#include "recovery_phases.hpp"

#include <config/gateway_settings.hpp>
#include <dispatch/cancelled_jobs.hpp>
#include <dispatch/configuration.hpp>
#include <dispatch/endpoint_registry.hpp>
#include <dispatch/evacuation_list.hpp>
#include <dispatch/evacuation_reads.hpp>
#include <dispatch/peer_roster.hpp>

#include <string>
#include <unordered_map>

namespace masticshift::gateway
{

/// State that the coroutines of one gateway share.
struct gateway_state
{
    gateway_state(config::gateway_settings from,
                  dispatch::entry_identity const& identity, time_point now)
        : settings(std::move(from)), roster(identity, now), recovery(now)
    {
    }

    config::gateway_settings settings;
    dispatch::peer_roster roster;
    dispatch::endpoint_registry registry;
    dispatch::evacuation_list evacuations;
    dispatch::evacuation_reads evacuation_reads;
    /// 0 until a configuration has been applied.
    std::int64_t configuration_version = 0;
    /// The text of this version, which peers may fetch.
    std::string configuration_text;
    dispatch::queue_index queues;
    /// Speeds of VMs, learnt by this entry's dispatchers or received from
    /// peers.
    std::unordered_map<std::string, double> learnt_speeds;
    dispatch::cancelled_jobs cancelled;
    input_delay input;
    caller_watch callers;
    recovery_phases recovery;
    /// Whether this entry drains.
    bool leaving = false;
    gateway_metrics metrics;
};

} // namespace masticshift::gateway

#endif
