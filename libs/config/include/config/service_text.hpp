#ifndef MASTICSHIFT_CONFIG_SERVICE_TEXT_HPP
#define MASTICSHIFT_CONFIG_SERVICE_TEXT_HPP

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

/// Table `[data_centre.NAME]` of the operators' text.
struct data_centre_config
{
    std::string name;
    std::string region;
    /// The other data centres, nearest first.
    std::vector<std::string> nearest;
};

/// Table `[endpoint.NAME]` of the operators' text.
struct endpoint_config
{
    std::string name;
    /// IP number.
    std::string ip;
    std::uint16_t port = 0;
    std::string data_centre;
    unsigned slots = 8;
    /// Connections over all entries together.
    unsigned connections = 64;
    unsigned accelerators = 0;
    unsigned memory_mb = 0;
};

/// Table `[service.NAME]` of the operators' text.
struct service_config
{
    std::string name;
    /// Names of endpoints, as in the text.
    std::vector<std::string> endpoints;
    /// Names of services that have to be usable for this one to be.
    std::vector<std::string> depends_on;
    /// Declared run time of a task of size 1. Often far off.
    milliseconds run_time{200};
    /// Time allowed for a job that names none.
    milliseconds timeout{10'000};
    /// What one task needs of an endpoint.
    unsigned needs_accelerators = 0;
    unsigned needs_memory_mb = 0;
    /// Whether endpoints answer `GET /v1/answers` for this service.
    bool recoverable = false;
    /// Tasks that one entry queues for this service at most.
    unsigned queue_limit = 20'000;
};

/// The operators' text, parsed and checked: every reference resolves, there
/// is no cycle of dependencies, and no two endpoints share an address.
struct service_text
{
    /// Revision of the platform's table. 0 until it is applied.
    std::uint64_t revision = 0;
    /// The TOML as it was applied.
    std::string text;
    std::map<std::string, data_centre_config, std::less<>> data_centres;
    std::map<std::string, endpoint_config, std::less<>> endpoints;
    std::map<std::string, service_config, std::less<>> services;
};

/// Parses and checks a text. `origin` names it in errors, which have the form
/// `ORIGIN:LINE: detail` and a code of the 400s.
boost::leaf::result<service_text> parse_service_text(std::string_view toml,
                                                     std::string_view origin);

/// As `parse_service_text`, for coroutines.
outcome<service_text> load_service_text(std::string_view toml,
                                        std::string_view origin);

} // namespace masticshift::config

#endif
