#ifndef MASTICSHIFT_CONFIG_GATEWAY_SETTINGS_HPP
#define MASTICSHIFT_CONFIG_GATEWAY_SETTINGS_HPP

#include <config/daemon_settings.hpp>
#include <core/log.hpp>
#include <core/outcome.hpp>
#include <core/time.hpp>

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace masticshift::config
{

/// Table `[gateway]`: this process.
struct gateway_identity
{
    std::string name;
    std::string data_centre;
    socket_address caller_address;
    /// Answers whether callers may be sent here.
    socket_address ready_address;
    /// What other entries connect to. It names this one.
    socket_address peer_address;
    /// What is bound for it, where something translates addresses between the
    /// VMs. The peer address by default.
    socket_address peer_listen_address;
    /// Text for Prometheus. Not served when absent.
    socket_address metrics_address;
    /// Cores that this process may use. The largest entries dispatch.
    double processors = 1;
};

/// Table `[bounds]`: figures of the deployment.
struct gateway_bounds
{
    /// Longest lease that an endpoint grants.
    milliseconds longest_lease{1'000};
    /// A run on another rack than its data's takes this many times as long.
    double remote_factor = 1;
    /// Time from the signal to stop until the process is killed.
    double grace_seconds = 6;
};

/// All settings of masticshiftd on the users' platform.
struct gateway_settings
{
    gateway_identity gateway;
    /// Table `[peers]`.
    std::vector<socket_address> seeds;
    /// Table `[store]`.
    socket_address store_address;
    gateway_bounds bounds;
    log_settings log;
};

/// Whether a settings text is one for the users' platform: it has a table
/// `[gateway]`. False for a text that can't be parsed.
bool is_gateway_text(std::string_view toml);

/// Parses and checks settings. Errors as in `parse_service_text`.
boost::leaf::result<gateway_settings>
parse_gateway_settings(std::string_view toml, std::string_view origin);

/// As `parse_gateway_settings`, reading a file.
outcome<gateway_settings> load_gateway_settings(std::string const& path);

/// Whether the file at a path is a settings text for the users' platform.
bool is_gateway_file(std::string const& path);

} // namespace masticshift::config

#endif
