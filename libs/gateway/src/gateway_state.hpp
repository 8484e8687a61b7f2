#ifndef MASTICSHIFT_GATEWAY_GATEWAY_STATE_HPP
#define MASTICSHIFT_GATEWAY_GATEWAY_STATE_HPP

#include "gateway_metrics.hpp"

#include <config/gateway_settings.hpp>
#include <dispatch/configuration.hpp>
#include <dispatch/endpoint_registry.hpp>
#include <dispatch/peer_roster.hpp>

#include <string>
#include <unordered_map>

namespace masticshift::gateway
{

/// What the loops of one gateway share.
struct gateway_state
{
    gateway_state(config::gateway_settings from,
                  dispatch::entry_identity const& identity, time_point now)
        : settings(std::move(from)), roster(identity, now)
    {
    }

    config::gateway_settings settings;
    dispatch::peer_roster roster;
    dispatch::endpoint_registry registry;
    /// 0 until one is known.
    std::int64_t configuration_version = 0;
    /// The text that the version was decoded from, for peers.
    std::string configuration_text;
    dispatch::queue_index queues;
    /// Speeds of VMs that the dispatcher has told.
    std::unordered_map<std::string, double> learnt_speeds;
    bool leaving = false;
    gateway_metrics metrics;
};

} // namespace masticshift::gateway

#endif
