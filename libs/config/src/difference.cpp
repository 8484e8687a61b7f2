#include <config/difference.hpp>

#include <utility>

namespace masticshift::config
{

namespace
{

using key_values = std::vector<std::pair<std::string, std::string>>;

std::string join(std::vector<std::string> const& names)
{
    std::string joined;
    for (auto const& name : names)
        joined += (joined.empty() ? "" : ",") + name;
    return joined;
}

key_values values_of(data_centre_config const& from)
{
    return {{"region", from.region}, {"nearest", join(from.nearest)}};
}

key_values values_of(endpoint_config const& from)
{
    return {{"address", from.ip + ":" + std::to_string(from.port)},
            {"data_centre", from.data_centre},
            {"slots", std::to_string(from.slots)},
            {"connections", std::to_string(from.connections)},
            {"accelerators", std::to_string(from.accelerators)},
            {"memory_mb", std::to_string(from.memory_mb)}};
}

key_values values_of(service_config const& from)
{
    return {{"endpoints", join(from.endpoints)},
            {"depends_on", join(from.depends_on)},
            {"run_time_ms", std::to_string(from.run_time.count())},
            {"timeout_ms", std::to_string(from.timeout.count())},
            {"needs_accelerators", std::to_string(from.needs_accelerators)},
            {"needs_memory_mb", std::to_string(from.needs_memory_mb)},
            {"recoverable", from.recoverable ? "true" : "false"},
            {"queue_limit", std::to_string(from.queue_limit)}};
}

std::string place_of(std::string const& table, std::string const& key)
{
    return table + "." + key;
}

template <class Item>
void compare_items(std::string const& place, Item const& from, Item const& to,
                   std::vector<difference>& found)
{
    auto const former = values_of(from);
    auto const current = values_of(to);
    for (std::size_t i = 0; i < former.size(); ++i)
    {
        if (former[i].second != current[i].second)
            found.push_back({place_of(place, former[i].first), former[i].second,
                             current[i].second});
    }
}

template <class Map>
void compare_tables(std::string const& kind, Map const& from, Map const& to,
                    std::vector<difference>& found)
{
    for (auto const& [name, item] : from)
    {
        auto const place = place_of(kind, name);
        auto const other = to.find(name);
        if (other == to.end())
            found.push_back({place, "defined", ""});
        else
            compare_items(place, item, other->second, found);
    }
    for (auto const& [name, item] : to)
    {
        if (!from.contains(name))
            found.push_back({place_of(kind, name), "", "defined"});
    }
}

} // namespace

std::vector<difference> differences(operator_configuration const& from,
                                    operator_configuration const& to)
{
    std::vector<difference> found;
    compare_tables("data_centre", from.data_centres, to.data_centres, found);
    compare_tables("endpoint", from.endpoints, to.endpoints, found);
    compare_tables("service", from.services, to.services, found);
    return found;
}

} // namespace masticshift::config
