#ifndef MASTICSHIFT_DAEMON_METRICS_TEXT_HPP
#define MASTICSHIFT_DAEMON_METRICS_TEXT_HPP

#include "entry_state.hpp"

#include <peer_link/traffic.hpp>

#include <string>

namespace masticshift::daemon
{

/// Sources of metrics besides `entry_metrics`.
struct metrics_sources
{
    peer_link::traffic const& client;
    peer_link::traffic const& server;
    std::size_t running_jobs = 0;
};

/// All metrics of an entry in the Prometheus text format.
std::string render_metrics(entry_state& state, metrics_sources const& sources,
                           time_point now);

} // namespace masticshift::daemon

#endif
