#ifndef MASTICSHIFT_GATEWAY_SOAK_SOAK_RUN_HPP
#define MASTICSHIFT_GATEWAY_SOAK_SOAK_RUN_HPP

#include <core/time.hpp>

#include <string>
#include <vector>

namespace masticshift::gateway_soak
{

struct soak_options
{
    std::string program;
    unsigned seed = 1;
    milliseconds length{15'000};
    std::size_t gateways = 4;
    std::size_t endpoints = 8;
    /// Keep the logs of a run that has found nothing.
    bool keep = false;
    /// Endpoints that should drain are restarted at once. Some seeds were
    /// recorded with that.
    bool drains_restart = false;
};

struct soak_result
{
    /// Broken promises. Empty: all were kept.
    std::vector<std::string> findings;
    std::string summary;
    /// Folder with the logs, where they were kept.
    std::string folder;
};

/// Runs real gateways under random faults and looks for broken promises.
soak_result run_soak(soak_options const& options);

} // namespace masticshift::gateway_soak

#endif
