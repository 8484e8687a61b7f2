#include <config/daemon_settings.hpp>

#include "daemon_keys.hpp"
#include "settings_file.hpp"
#include "to_outcome.hpp"

namespace masticshift::config
{

namespace leaf = boost::leaf;

namespace
{

read_result check_peers(toml_table const& root, daemon_settings const& settings)
{
    auto const& peers = settings.peers;
    if (peers.dead_after > peers.heartbeat_interval)
        return {};
    BOOST_LEAF_AUTO(table, subtable_of(root, "peers"));
    return refuse(root.origin, table.line_of("dead_after_ms"),
                  result_code::config_out_of_range,
                  "peers.dead_after_ms: must be more than "
                  "heartbeat_interval_ms");
}

/// Whether two listeners have the same address. Port 0 selects a free port, so
/// it never conflicts.
bool conflict(socket_address const& a, socket_address const& b)
{
    return a.port != 0 && a == b;
}

read_result check_own_addresses(toml_table const& root,
                                entry_settings const& entry)
{
    auto const& peers = entry.peer_listen_address;
    bool const distinct =
        !conflict(entry.caller_address, peers) &&
        !conflict(entry.caller_address, entry.operator_address) &&
        !conflict(peers, entry.operator_address);
    if (distinct)
        return {};
    BOOST_LEAF_AUTO(table, subtable_of(root, "entry"));
    return refuse(root.origin, table.line(), result_code::config_duplicate,
                  "entry: the three addresses must differ");
}

} // namespace

leaf::result<daemon_settings> parse_daemon_settings(std::string_view toml,
                                                    std::string_view origin)
{
    BOOST_LEAF_AUTO(parsed, parse_toml(toml, origin));
    toml_table const root{origin, "", &parsed};
    daemon_settings settings;
    BOOST_LEAF_CHECK(read_sections(root, settings));
    auto& entry = settings.entry;
    if (entry.peer_listen_address.ip.empty())
        entry.peer_listen_address = entry.peer_address;
    BOOST_LEAF_CHECK(check_own_addresses(root, settings.entry));
    BOOST_LEAF_CHECK(check_peers(root, settings));
    return settings;
}

outcome<daemon_settings> load_daemon_settings(std::string const& path)
{
    auto const text = read_settings_file(path);
    if (!text)
        return text.error();
    return to_outcome<daemon_settings>(
        [&]
        {
            return parse_daemon_settings(*text, path);
        });
}

} // namespace masticshift::config
