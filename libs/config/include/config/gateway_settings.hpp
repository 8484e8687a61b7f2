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
    /// Address of the readiness check: whether callers may be routed here.
    socket_address ready_address;
    /// Address that other entries connect to. It identifies this entry.
    socket_address peer_address;
    /// Address that the entry binds to accept peers. It differs from
    /// `peer_address` where addresses are translated between the VMs. The peer
    /// address by default.
    socket_address peer_listen_address;
    /// Address that serves metrics in the Prometheus text format. Metrics are
    /// not served when it is absent.
    socket_address metrics_address;
    /// Processor cores that this process may use. Entries with the most cores
    /// are preferred as dispatchers.
    double processors = 1;
};

/// Table `[bounds]`: properties of the deployment.
struct gateway_bounds
{
    /// Longest lease that an endpoint grants.
    milliseconds longest_lease{1'000};
    /// A run on another rack than that of its data takes this many times as
    /// long.
    double remote_factor = 1;
    /// Time from the stop signal until the process is killed.
    double grace_seconds = 6;
};

/// All settings of masticshiftd when it runs as a gateway.
struct gateway_settings
{
    gateway_identity gateway;
    /// Table `[peers]`: addresses of the entries to contact first.
    std::vector<socket_address> seeds;
    /// Table `[store]`.
    socket_address store_address;
    gateway_bounds bounds;
    log_settings log;
};

/// Whether settings are those of a gateway: they have a table `[gateway]`.
/// False for settings that cannot be parsed.
bool has_gateway_settings(std::string_view toml);

/// Parses and checks settings. Errors have the form of
/// `parse_operator_configuration`.
boost::leaf::result<gateway_settings>
parse_gateway_settings(std::string_view toml, std::string_view origin);

/// As `parse_gateway_settings`, for a file, and for coroutines.
outcome<gateway_settings> load_gateway_settings(std::string const& path);

/// Whether a file has settings of a gateway. False for a file that cannot be
/// read.
bool is_gateway_settings_file(std::string const& path);

} // namespace masticshift::config

#endif
