#include <config/review.hpp>

#include <algorithm>
#include <set>

namespace masticshift::config
{

namespace
{

using names = std::set<std::string, std::less<>>;

std::string never_used(std::string const& endpoint, std::string const& lack)
{
    return "'" + endpoint + "' is never used: it " + lack;
}

std::string key_of(std::string const& kind, std::string const& name,
                   std::string const& key)
{
    return kind + "." + name + "." + key;
}

/// What a service needs and an endpoint lacks, or an empty string.
std::string lack_of(endpoint_config const& endpoint,
                    service_config const& service)
{
    if (endpoint.accelerators < service.needs_accelerators)
        return "has " + std::to_string(endpoint.accelerators) +
               " accelerators, a task needs " +
               std::to_string(service.needs_accelerators);
    if (endpoint.memory_mb < service.needs_memory_mb)
        return "has " + std::to_string(endpoint.memory_mb) +
               " MB of memory, a task needs " +
               std::to_string(service.needs_memory_mb);
    return {};
}

void review_endpoints_of(service_config const& service,
                         operator_configuration const& configuration,
                         findings& found)
{
    auto const place = key_of("service", service.name, "endpoints");
    names listed;
    std::size_t suitable = 0;
    findings unsuitable;
    for (auto const& name : service.endpoints)
    {
        if (!listed.insert(name).second)
        {
            found.push_back({finding_level::warning, place,
                             "lists '" + name + "' more than once"});
            continue;
        }
        auto const lack =
            lack_of(configuration.endpoints.find(name)->second, service);
        if (lack.empty())
            ++suitable;
        else
            unsuitable.push_back(
                {finding_level::warning, place, never_used(name, lack)});
    }
    if (suitable == 0)
        found.push_back(
            {finding_level::error, place, "no endpoint has what a task needs"});
    found.insert(found.end(), unsuitable.begin(), unsuitable.end());
}

void review_times_of(service_config const& service, findings& found)
{
    if (service.timeout < service.run_time)
        found.push_back({finding_level::error,
                         key_of("service", service.name, "timeout_ms"),
                         std::to_string(service.timeout.count()) +
                             " ms is less than run_time_ms, " +
                             std::to_string(service.run_time.count()) +
                             ": no job of the default timeout ends in time"});
}

void review_endpoint(endpoint_config const& endpoint, names const& used,
                     findings& found)
{
    if (!used.contains(endpoint.name))
        found.push_back({finding_level::warning, "endpoint." + endpoint.name,
                         "no service uses it"});
    if (endpoint.connections < endpoint.slots)
        found.push_back({finding_level::warning,
                         key_of("endpoint", endpoint.name, "connections"),
                         std::to_string(endpoint.connections) +
                             " connections for " +
                             std::to_string(endpoint.slots) +
                             " slots: each task needs one"});
}

} // namespace

findings review(operator_configuration const& configuration)
{
    findings found;
    names used_endpoints;
    names used_data_centres;
    for (auto const& [name, service] : configuration.services)
    {
        review_endpoints_of(service, configuration, found);
        review_times_of(service, found);
        used_endpoints.insert(service.endpoints.begin(),
                              service.endpoints.end());
    }
    for (auto const& [name, endpoint] : configuration.endpoints)
    {
        review_endpoint(endpoint, used_endpoints, found);
        used_data_centres.insert(endpoint.data_centre);
    }
    for (auto const& [name, data_centre] : configuration.data_centres)
    {
        if (!used_data_centres.contains(name))
            found.push_back({finding_level::warning, "data_centre." + name,
                             "has no endpoint"});
    }
    std::ranges::stable_sort(found, std::ranges::greater{}, &finding::level);
    return found;
}

} // namespace masticshift::config
