#ifndef MASTICSHIFT_MASTICSHIFTD_GATEWAY_PROCESS_HPP
#define MASTICSHIFT_MASTICSHIFTD_GATEWAY_PROCESS_HPP

#include <config/gateway_settings.hpp>
#include <core/outcome.hpp>

#include <string>

/// Runs a gateway until SIGTERM or SIGINT and the drain that follows. Reloads
/// the settings from `path` when the file changes or on SIGHUP.
masticshift::outcome<void>
serve_gateway(std::string const& path,
              masticshift::config::gateway_settings settings);

#endif
