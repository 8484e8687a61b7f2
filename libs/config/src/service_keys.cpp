#include "service_keys.hpp"

#include "key_rule.hpp"

#include <array>

namespace masticshift::config
{

namespace
{

using enum presence;

constexpr std::int64_t hour_ms = 3'600'000;
constexpr std::int64_t max_slots = 4'096;
constexpr std::int64_t max_connections = 65'536;
constexpr std::int64_t max_accelerators = 1'024;
constexpr std::int64_t max_memory_mb = 1 << 30;
constexpr std::int64_t max_queue = 10'000'000;

constexpr value_rule name_rule{.form = text_form::name};

constexpr std::array data_centre_keys{
    member_key<&data_centre_config::region>("region", required, name_rule),
    member_key<&data_centre_config::nearest>("nearest", optional, name_rule)};

read_result read_endpoint_address(endpoint_config& endpoint,
                                  toml_value const& value,
                                  value_rule const& rule)
{
    socket_address address;
    BOOST_LEAF_CHECK(read_value(value, rule, address));
    endpoint.ip = address.ip;
    endpoint.port = address.port;
    return {};
}

constexpr std::array endpoint_keys{
    key_rule<endpoint_config>{"address",
                              required,
                              {.form = text_form::connect_address},
                              read_endpoint_address},
    member_key<&endpoint_config::data_centre>("data_centre", required,
                                              name_rule),
    member_key<&endpoint_config::slots>("slots", optional, {1, max_slots}),
    member_key<&endpoint_config::connections>("connections", optional,
                                              {1, max_connections}),
    member_key<&endpoint_config::accelerators>("accelerators", optional,
                                               {0, max_accelerators}),
    member_key<&endpoint_config::memory_mb>("memory_mb", optional,
                                            {0, max_memory_mb})};

constexpr std::array service_keys{
    member_key<&service_config::endpoints>("endpoints", required, name_rule),
    member_key<&service_config::depends_on>("depends_on", optional, name_rule),
    member_key<&service_config::run_time>("run_time_ms", optional,
                                          {1, hour_ms}),
    member_key<&service_config::timeout>("timeout_ms", optional, {1, hour_ms}),
    member_key<&service_config::needs_accelerators>(
        "needs_accelerators", optional, {0, max_accelerators}),
    member_key<&service_config::needs_memory_mb>("needs_memory_mb", optional,
                                                 {0, max_memory_mb}),
    member_key<&service_config::recoverable>("recoverable", optional),
    member_key<&service_config::queue_limit>("queue_limit", optional,
                                             {0, max_queue})};

template <class Item>
using item_map = std::map<std::string, Item, std::less<>>;

/// Reads the tables `[KIND.NAME]`.
template <class Item>
read_result read_items(toml_table const& root, std::string_view kind,
                       std::type_identity_t<key_rules<Item>> rules,
                       item_map<Item>& items)
{
    BOOST_LEAF_AUTO(parent, subtable_of(root, kind));
    if (parent.table == nullptr)
        return {};
    for (auto&& [key, node] : *parent.table)
    {
        std::string const name(key.str());
        toml_value const place{root.origin, std::string(kind), &node};
        if (!is_name(name))
        {
            return refuse(place, result_code::config_out_of_range,
                          "a name must have 1 to " +
                              std::to_string(max_name_length) +
                              " letters, digits, '-', '_' or '.'");
        }
        BOOST_LEAF_AUTO(table, subtable_of(parent, name));
        Item item;
        item.name = name;
        BOOST_LEAF_CHECK(read_table(table, rules, item));
        items.emplace(name, std::move(item));
    }
    return {};
}

constexpr std::array kinds{"data_centre", "endpoint", "service"};

read_result check_kinds(toml_table const& root)
{
    for (auto&& [key, node] : *root.table)
    {
        if (std::ranges::find(kinds, key.str()) == kinds.end())
        {
            return refuse({root.origin, std::string(key.str()), &node},
                          result_code::config_unknown_key,
                          "unknown table; known tables are "
                          "[data_centre.NAME], [endpoint.NAME] and "
                          "[service.NAME]");
        }
    }
    return {};
}

} // namespace

read_result read_service_tables(toml_table const& root,
                                operator_configuration& configuration)
{
    BOOST_LEAF_CHECK(check_kinds(root));
    BOOST_LEAF_CHECK(read_items(root, "data_centre", data_centre_keys,
                                configuration.data_centres));
    BOOST_LEAF_CHECK(
        read_items(root, "endpoint", endpoint_keys, configuration.endpoints));
    return read_items(root, "service", service_keys, configuration.services);
}

} // namespace masticshift::config
