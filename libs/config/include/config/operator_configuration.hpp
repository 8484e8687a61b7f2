#ifndef MASTICSHIFT_CONFIG_OPERATOR_CONFIGURATION_HPP
#define MASTICSHIFT_CONFIG_OPERATOR_CONFIGURATION_HPP

#include <core/outcome.hpp>
#include <core/time.hpp>

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace masticshift::config
{

/// Table `[data_centre.NAME]` of the service configuration.
struct data_centre_config
{
    std::string name;
    std::string region;
    /// The other data centres, nearest first.
    std::vector<std::string> nearest;
};

/// Table `[endpoint.NAME]` of the service configuration.
struct endpoint_config
{
    std::string name;
    /// IP address.
    std::string ip;
    std::uint16_t port = 0;
    std::string data_centre;
    unsigned slots = 8;
    /// Largest number of connections from all entries together.
    unsigned connections = 64;
    unsigned accelerators = 0;
    unsigned memory_mb = 0;
};

/// Table `[service.NAME]` of the service configuration.
struct service_config
{
    std::string name;
    /// Names of the endpoints that provide the service.
    std::vector<std::string> endpoints;
    /// Names of the services that must be available for this one to be
    /// available.
    std::vector<std::string> depends_on;
    /// Declared run time of a task of size 1. Only a first estimate: the actual
    /// run time often differs widely.
    milliseconds run_time{200};
    /// Timeout of a job that specifies none.
    milliseconds timeout{10'000};
    /// Resources of an endpoint that one task needs.
    unsigned needs_accelerators = 0;
    unsigned needs_memory_mb = 0;
    /// Whether endpoints answer `GET /v1/answers` for this service.
    bool recoverable = false;
    /// Largest number of tasks that one entry queues for this service.
    unsigned queue_limit = 20'000;
};

/// The service configuration, which operators apply as a TOML text, parsed and
/// checked: every reference resolves, dependencies have no cycle, and no two
/// endpoints share an address.
struct operator_configuration
{
    /// Revision in the platform's table. 0 until the configuration is applied.
    std::uint64_t revision = 0;
    /// The TOML text that was parsed.
    std::string text;
    std::map<std::string, data_centre_config, std::less<>> data_centres;
    std::map<std::string, endpoint_config, std::less<>> endpoints;
    std::map<std::string, service_config, std::less<>> services;
};

/// Parses and checks a service configuration. `origin` names the text in
/// errors, which have the form `ORIGIN:LINE: detail` and a result code from 400
/// to 499.
boost::leaf::result<operator_configuration>
parse_operator_configuration(std::string_view toml, std::string_view origin);

/// As `parse_operator_configuration`, for coroutines.
outcome<operator_configuration>
load_operator_configuration(std::string_view toml, std::string_view origin);

} // namespace masticshift::config

#endif
