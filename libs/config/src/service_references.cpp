#include "service_references.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace masticshift::config
{

namespace leaf = boost::leaf;

namespace
{

/// Largest number of names that an error lists.
constexpr std::size_t max_listed_names = 16;

/// Identifies a key of a table `[KIND.NAME]` in errors.
struct key_place
{
    std::string_view kind;
    std::string_view name;
    std::string_view key;
};

leaf::error_id refuse_key(toml_table const& root, key_place const& place,
                          result_code code, std::string const& detail)
{
    auto const kind = subtable_of(root, place.kind);
    auto const table = subtable_of(*kind, place.name);
    return refuse(root.origin, table->line_of(place.key), code,
                  table->path + "." + std::string(place.key) + ": " + detail);
}

template <class Map>
read_result check_names(toml_table const& root, key_place const& place,
                        std::vector<std::string> const& names, Map const& known)
{
    for (auto const& name : names)
    {
        if (!known.contains(name))
        {
            return refuse_key(root, place,
                              result_code::config_unknown_reference,
                              "refers to '" + name + "', which is not defined");
        }
    }
    return {};
}

read_result check_data_centres(toml_table const& root,
                               operator_configuration const& configuration)
{
    for (auto const& [name, data_centre] : configuration.data_centres)
    {
        key_place const place{"data_centre", name, "nearest"};
        BOOST_LEAF_CHECK(check_names(root, place, data_centre.nearest,
                                     configuration.data_centres));
        if (std::ranges::find(data_centre.nearest, name) !=
            data_centre.nearest.end())
        {
            return refuse_key(root, place, result_code::config_duplicate,
                              "must not list the data centre itself");
        }
    }
    return {};
}

read_result check_endpoints(toml_table const& root,
                            operator_configuration const& configuration)
{
    std::map<std::pair<std::string, std::uint16_t>, std::string> owners;
    for (auto const& [name, endpoint] : configuration.endpoints)
    {
        BOOST_LEAF_CHECK(check_names(root, {"endpoint", name, "data_centre"},
                                     {endpoint.data_centre},
                                     configuration.data_centres));
        auto const [owner, added] =
            owners.emplace(std::pair(endpoint.ip, endpoint.port), name);
        if (!added)
        {
            return refuse_key(root, {"endpoint", name, "address"},
                              result_code::config_duplicate,
                              "is already the address of '" + owner->second +
                                  "'");
        }
    }
    return {};
}

read_result check_services(toml_table const& root,
                           operator_configuration const& configuration)
{
    for (auto const& [name, service] : configuration.services)
    {
        if (service.endpoints.empty())
        {
            return refuse_key(root, {"service", name, "endpoints"},
                              result_code::config_out_of_range,
                              "must list at least one endpoint");
        }
        BOOST_LEAF_CHECK(check_names(root, {"service", name, "endpoints"},
                                     service.endpoints,
                                     configuration.endpoints));
        BOOST_LEAF_CHECK(check_names(root, {"service", name, "depends_on"},
                                     service.depends_on,
                                     configuration.services));
    }
    return {};
}

using service_names = std::set<std::string, std::less<>>;

/// Removes services without unresolved dependencies until none is left (Kahn's
/// algorithm). Each service that remains depends on another one that remains,
/// so it is part of a cycle or depends on one.
service_names find_circular(operator_configuration const& configuration)
{
    std::map<std::string_view, std::vector<std::string_view>> dependants;
    std::map<std::string_view, std::size_t> unresolved_counts;
    std::vector<std::string_view> resolved;
    service_names remaining;
    for (auto const& [name, service] : configuration.services)
    {
        remaining.insert(name);
        unresolved_counts[name] = service.depends_on.size();
        if (service.depends_on.empty())
            resolved.push_back(name);
        for (auto const& dependency : service.depends_on)
            dependants[dependency].push_back(name);
    }
    while (!resolved.empty())
    {
        auto const name = resolved.back();
        resolved.pop_back();
        remaining.erase(remaining.find(name));
        for (auto const dependant : dependants[name])
        {
            if (--unresolved_counts[dependant] == 0)
                resolved.push_back(dependant);
        }
    }
    return remaining;
}

/// Follows dependencies among the circular services until one is visited again,
/// and returns the cycle from that service back to itself.
std::vector<std::string>
trace_cycle(operator_configuration const& configuration,
            service_names const& circular)
{
    std::vector<std::string> path;
    service_names visited;
    auto name = *circular.begin();
    while (visited.insert(name).second)
    {
        path.push_back(name);
        auto const& depends_on =
            configuration.services.find(name)->second.depends_on;
        name = *std::ranges::find_if(depends_on,
                                     [&](std::string const& each)
                                     {
                                         return circular.contains(each);
                                     });
    }
    path.erase(path.begin(), std::ranges::find(path, name));
    path.push_back(name);
    return path;
}

std::string join_cycle(std::vector<std::string> const& path)
{
    std::string joined = path.front();
    for (std::size_t i = 1; i < path.size(); ++i)
    {
        if (i == max_listed_names && path.size() > max_listed_names + 1)
            return joined + " -> ... -> " + path.back();
        joined += " -> " + path[i];
    }
    return joined;
}

read_result check_cycles(toml_table const& root,
                         operator_configuration const& configuration)
{
    auto const circular = find_circular(configuration);
    if (circular.empty())
        return {};
    auto const path = trace_cycle(configuration, circular);
    return refuse_key(root, {"service", path.front(), "depends_on"},
                      result_code::config_cycle,
                      "dependencies form the cycle " + join_cycle(path));
}

} // namespace

read_result check_references(toml_table const& root,
                             operator_configuration const& configuration)
{
    BOOST_LEAF_CHECK(check_data_centres(root, configuration));
    BOOST_LEAF_CHECK(check_endpoints(root, configuration));
    BOOST_LEAF_CHECK(check_services(root, configuration));
    return check_cycles(root, configuration);
}

} // namespace masticshift::config
