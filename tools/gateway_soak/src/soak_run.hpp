#ifndef MASTICSHIFT_GATEWAY_SOAK_SOAK_RUN_HPP
#define MASTICSHIFT_GATEWAY_SOAK_SOAK_RUN_HPP

#include "soak_fault.hpp"

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
    /// Keep the logs of a run without findings too.
    bool keep = false;
    /// A `draining_endpoint` fault restarts the endpoint at once instead. Some
    /// regression seeds were recorded with this behaviour.
    bool drains_restart = false;
    /// With `handovers`, no endpoint may get new work long after its report
    /// that it drains.
    fault_set faults = fault_set::all;
};

struct soak_result
{
    /// Violated guarantees. Empty if the run passed.
    std::vector<std::string> findings;
    std::string summary;
    /// Folder with the logs, or empty if they were not kept.
    std::string folder;
};

/// Runs gateway processes under random faults and checks their guarantees.
soak_result run_soak(soak_options const& options);

} // namespace masticshift::gateway_soak

#endif
