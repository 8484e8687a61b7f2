#include <config/gateway_settings.hpp>

#include "key_rule.hpp"
#include "settings_file.hpp"
#include "to_outcome.hpp"

#include <algorithm>
#include <array>
#include <vector>

namespace masticshift::config
{

namespace leaf = boost::leaf;

namespace
{

using enum presence;

constexpr std::int64_t minute_ms = 60'000;
constexpr std::int64_t max_path_bytes = 4'096;
constexpr std::int64_t max_processors = 1'024;
constexpr std::int64_t max_remote_factor = 1'000;
constexpr std::int64_t max_grace_seconds = 3'600;

constexpr value_rule name_rule{.form = text_form::name};
constexpr value_rule listen_rule{.form = text_form::listen_address};
constexpr value_rule connect_rule{.form = text_form::connect_address};

constexpr std::array gateway_keys{
    member_key<&gateway_identity::name>("name", required, name_rule),
    member_key<&gateway_identity::data_centre>("data_centre", required,
                                               name_rule),
    member_key<&gateway_identity::caller_address>("caller_address", required,
                                                  listen_rule),
    member_key<&gateway_identity::ready_address>("ready_address", required,
                                                 listen_rule),
    member_key<&gateway_identity::peer_address>("peer_address", required,
                                                connect_rule),
    member_key<&gateway_identity::peer_listen_address>("peer_listen_address",
                                                       optional, listen_rule),
    member_key<&gateway_identity::metrics_address>("metrics_address", optional,
                                                   listen_rule),
    member_key<&gateway_identity::processors>("processors", optional,
                                              {0, max_processors})};

constexpr std::array peer_keys{
    member_key<&gateway_settings::seeds>("addresses", optional, connect_rule)};

constexpr std::array store_keys{member_key<&gateway_settings::store_address>(
    "address", required, connect_rule)};

constexpr std::array bound_keys{
    member_key<&gateway_bounds::longest_lease>("longest_lease_ms", optional,
                                               {100, minute_ms}),
    member_key<&gateway_bounds::remote_factor>("remote_factor", optional,
                                               {1, max_remote_factor}),
    member_key<&gateway_bounds::grace_seconds>("grace_seconds", optional,
                                               {0, max_grace_seconds})};

constexpr std::array log_keys{
    member_key<&log_settings::source>("source", optional, {0, 1'024}),
    member_key<&log_settings::path>("path", optional, {0, max_path_bytes}),
    member_key<&log_settings::lowest>("level", optional)};

constexpr std::array<std::string_view, 5> sections{"gateway", "peers", "store",
                                                   "bounds", "log"};

read_result check_section_names(toml_table const& root)
{
    for (auto&& [key, node] : *root.table)
    {
        if (std::ranges::find(sections, key.str()) == sections.end())
        {
            return refuse({root.origin, std::string(key.str()), &node},
                          result_code::config_unknown_key,
                          "no such table in the settings");
        }
    }
    return {};
}

/// Port 0 selects a free port, so it never conflicts.
read_result check_listen_addresses(toml_table const& root,
                                   gateway_identity const& own)
{
    std::vector<socket_address> taken;
    for (auto const& address : {own.caller_address, own.ready_address,
                                own.peer_listen_address, own.metrics_address})
    {
        if (address.ip.empty() || address.port == 0)
            continue;
        if (std::ranges::find(taken, address) != taken.end())
        {
            BOOST_LEAF_AUTO(table, subtable_of(root, "gateway"));
            return refuse(root.origin, table.line(),
                          result_code::config_duplicate,
                          "gateway: two listeners have the address " +
                              to_string(address));
        }
        taken.push_back(address);
    }
    return {};
}

template <class Target, class Rules>
read_result read_section(toml_table const& root, std::string_view name,
                         Rules const& rules, Target& target)
{
    BOOST_LEAF_AUTO(table, subtable_of(root, name));
    return read_table(table, rules, target);
}

} // namespace

leaf::result<gateway_settings> parse_gateway_settings(std::string_view toml,
                                                      std::string_view origin)
{
    BOOST_LEAF_AUTO(parsed, parse_toml(toml, origin));
    toml_table const root{origin, "", &parsed};
    gateway_settings settings;
    BOOST_LEAF_CHECK(check_section_names(root));
    BOOST_LEAF_CHECK(
        read_section(root, "gateway", gateway_keys, settings.gateway));
    BOOST_LEAF_CHECK(read_section(root, "peers", peer_keys, settings));
    BOOST_LEAF_CHECK(read_section(root, "store", store_keys, settings));
    BOOST_LEAF_CHECK(read_section(root, "bounds", bound_keys, settings.bounds));
    BOOST_LEAF_CHECK(read_section(root, "log", log_keys, settings.log));
    auto& own = settings.gateway;
    if (own.peer_listen_address.ip.empty())
        own.peer_listen_address = own.peer_address;
    BOOST_LEAF_CHECK(check_listen_addresses(root, own));
    return settings;
}

bool has_gateway_settings(std::string_view toml)
{
    auto const parsed = to_outcome<bool>(
        [&]() -> leaf::result<bool>
        {
            BOOST_LEAF_AUTO(table, parse_toml(toml, "settings"));
            return table.contains("gateway");
        });
    return parsed && *parsed;
}

outcome<gateway_settings> load_gateway_settings(std::string const& path)
{
    auto const text = read_settings_file(path);
    if (!text)
        return text.error();
    return to_outcome<gateway_settings>(
        [&]
        {
            return parse_gateway_settings(*text, path);
        });
}

bool is_gateway_settings_file(std::string const& path)
{
    auto const text = read_settings_file(path);
    return text && has_gateway_settings(*text);
}

} // namespace masticshift::config
