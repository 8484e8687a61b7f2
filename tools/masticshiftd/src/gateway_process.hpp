#ifndef MASTICSHIFT_MASTICSHIFTD_GATEWAY_PROCESS_HPP
#define MASTICSHIFT_MASTICSHIFTD_GATEWAY_PROCESS_HPP

#include <config/gateway_settings.hpp>
#include <core/outcome.hpp>

#include <string>

/// Serves until a signal to stop has been obeyed. `path` is read again when it
/// changes.
masticshift::outcome<void>
serve_gateway(std::string const& path,
              masticshift::config::gateway_settings settings);

#endif
