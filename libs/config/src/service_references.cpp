#include "service_references.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace masticshift::config
{

namespace leaf = boost::leaf;

namespace
{

/// Names that an error lists at most.
constexpr std::size_t max_listed_names = 16;

/// A key of a table `[KIND.NAME]`, for errors.
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
                              "there is no '" + name + "'");
        }
    }
    return {};
}

read_result check_data_centres(toml_table const& root, service_text const& text)
{
    for (auto const& [name, data_centre] : text.data_centres)
    {
        key_place const place{"data_centre", name, "nearest"};
        BOOST_LEAF_CHECK(
            check_names(root, place, data_centre.nearest, text.data_centres));
        if (std::ranges::find(data_centre.nearest, name) !=
            data_centre.nearest.end())
        {
            return refuse_key(root, place, result_code::config_duplicate,
                              "lists the data centre itself");
        }
    }
    return {};
}

read_result check_endpoints(toml_table const& root, service_text const& text)
{
    std::map<std::pair<std::string, std::uint16_t>, std::string> owners;
    for (auto const& [name, endpoint] : text.endpoints)
    {
        BOOST_LEAF_CHECK(check_names(root, {"endpoint", name, "data_centre"},
                                     {endpoint.data_centre},
                                     text.data_centres));
        auto const [owner, added] =
            owners.emplace(std::pair(endpoint.ip, endpoint.port), name);
        if (!added)
        {
            return refuse_key(root, {"endpoint", name, "address"},
                              result_code::config_duplicate,
                              "is the address of '" + owner->second + "' too");
        }
    }
    return {};
}

read_result check_services(toml_table const& root, service_text const& text)
{
    for (auto const& [name, service] : text.services)
    {
        if (service.endpoints.empty())
        {
            return refuse_key(root, {"service", name, "endpoints"},
                              result_code::config_out_of_range,
                              "must list at least one endpoint");
        }
        BOOST_LEAF_CHECK(check_names(root, {"service", name, "endpoints"},
                                     service.endpoints, text.endpoints));
        BOOST_LEAF_CHECK(check_names(root, {"service", name, "depends_on"},
                                     service.depends_on, text.services));
    }
    return {};
}

using service_names = std::set<std::string, std::less<>>;

/// The services that are left when those without dependencies are taken away
/// again and again: each of them depends on another one that is left.
service_names find_circular(service_text const& text)
{
    std::map<std::string_view, std::vector<std::string_view>> dependants;
    std::map<std::string_view, std::size_t> open_dependencies;
    std::vector<std::string_view> free;
    service_names left;
    for (auto const& [name, service] : text.services)
    {
        left.insert(name);
        open_dependencies[name] = service.depends_on.size();
        if (service.depends_on.empty())
            free.push_back(name);
        for (auto const& dependency : service.depends_on)
            dependants[dependency].push_back(name);
    }
    while (!free.empty())
    {
        auto const name = free.back();
        free.pop_back();
        left.erase(left.find(name));
        for (auto const dependant : dependants[name])
        {
            if (--open_dependencies[dependant] == 0)
                free.push_back(dependant);
        }
    }
    return left;
}

/// Follows dependencies among circular services until one comes back.
std::vector<std::string> trace_cycle(service_text const& text,
                                     service_names const& circular)
{
    std::vector<std::string> path;
    service_names seen;
    auto name = *circular.begin();
    while (seen.insert(name).second)
    {
        path.push_back(name);
        auto const& depends_on = text.services.find(name)->second.depends_on;
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

read_result check_cycles(toml_table const& root, service_text const& text)
{
    auto const circular = find_circular(text);
    if (circular.empty())
        return {};
    auto const path = trace_cycle(text, circular);
    return refuse_key(root, {"service", path.front(), "depends_on"},
                      result_code::config_cycle,
                      "dependencies form the cycle " + join_cycle(path));
}

} // namespace

read_result check_references(toml_table const& root, service_text const& text)
{
    BOOST_LEAF_CHECK(check_data_centres(root, text));
    BOOST_LEAF_CHECK(check_endpoints(root, text));
    BOOST_LEAF_CHECK(check_services(root, text));
    return check_cycles(root, text);
}

} // namespace masticshift::config
