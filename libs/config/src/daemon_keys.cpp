#include "daemon_keys.hpp"

#include "key_rule.hpp"

#include <array>

namespace masticshift::config
{

namespace
{

using enum presence;

constexpr std::int64_t second_ms = 1'000;
constexpr std::int64_t minute_ms = 60 * second_ms;
constexpr std::int64_t hour_ms = 60 * minute_ms;
constexpr std::int64_t day_ms = 24 * hour_ms;
constexpr std::int64_t kib = 1 << 10;
constexpr std::int64_t mib = 1 << 20;
constexpr std::int64_t gib = 1 << 30;
constexpr std::int64_t max_job_tasks = 890;
constexpr std::int64_t max_open_connections = 65'536;
constexpr std::int64_t max_path_bytes = 4 * kib;

constexpr value_rule name_rule{.form = text_form::name};
constexpr value_rule listen_rule{.form = text_form::listen_address};
constexpr value_rule connect_rule{.form = text_form::connect_address};

constexpr std::array entry_keys{
    member_key<&entry_settings::data_centre>("data_centre", required,
                                             name_rule),
    member_key<&entry_settings::caller_address>("caller_address", required,
                                                listen_rule),
    member_key<&entry_settings::peer_address>("peer_address", required,
                                              connect_rule),
    member_key<&entry_settings::peer_listen_address>("peer_listen_address",
                                                     optional, listen_rule),
    member_key<&entry_settings::operator_address>("operator_address", required,
                                                  listen_rule)};

constexpr std::array platform_keys{
    member_key<&platform_settings::address>("address", required, connect_rule),
    member_key<&platform_settings::call_timeout>("timeout_ms", optional,
                                                 {1, minute_ms}),
    member_key<&platform_settings::poll_interval>("poll_interval_ms", optional,
                                                  {10, minute_ms})};

constexpr std::array limit_keys{
    member_key<&limit_settings::max_body_bytes>("max_body_bytes", optional,
                                                {kib, gib}),
    member_key<&limit_settings::max_answer_bytes>("max_answer_bytes", optional,
                                                  {kib, gib}),
    member_key<&limit_settings::max_header_bytes>("max_header_bytes", optional,
                                                  {kib, mib}),
    member_key<&limit_settings::max_tasks>("max_tasks", optional,
                                           {1, max_job_tasks}),
    member_key<&limit_settings::max_connections>("max_connections", optional,
                                                 {1, max_open_connections}),
    member_key<&limit_settings::request_read_timeout>(
        "request_read_ms", optional, {1, 10 * minute_ms}),
    member_key<&limit_settings::idle_connection>("idle_connection_ms", optional,
                                                 {1, hour_ms}),
    member_key<&limit_settings::idle_endpoint_connection>(
        "idle_endpoint_connection_ms", optional, {0, hour_ms}),
    member_key<&limit_settings::connect_timeout>("connect_ms", optional,
                                                 {1, minute_ms})};

constexpr std::array homes_keys{
    member_key<&homes_settings::generation_length>("generation_ms", optional,
                                                   {1, hour_ms}),
    member_key<&homes_settings::retention>("retention_ms", optional,
                                           {1, day_ms}),
    member_key<&homes_settings::max_ids>("max_ids", optional, {1, 100'000'000}),
    member_key<&homes_settings::max_answer_bytes>("max_answer_bytes", optional,
                                                  {0, 64 * gib}),
    member_key<&homes_settings::key>("key", optional, {0, kib})};

constexpr std::array peer_keys{
    member_key<&peer_settings::addresses>("addresses", optional, connect_rule),
    member_key<&peer_settings::heartbeat_interval>("heartbeat_interval_ms",
                                                   optional, {10, minute_ms}),
    member_key<&peer_settings::dead_after>("dead_after_ms", optional,
                                           {10, 10 * minute_ms}),
    member_key<&peer_settings::call_timeout>("call_timeout_ms", optional,
                                             {1, minute_ms})};

constexpr std::array placement_keys{
    member_key<&placement_settings::policy>("policy", optional, name_rule),
    member_key<&placement_settings::loan_duration>("loan_ms", optional,
                                                   {1, minute_ms}),
    member_key<&placement_settings::loan_batch>("loan_batch", optional,
                                                {1, 10'000})};

constexpr std::array drain_keys{
    member_key<&drain_settings::limit>("limit_ms", optional, {0, hour_ms})};

constexpr std::array log_keys{
    member_key<&log_settings::source>("source", optional, {0, kib}),
    member_key<&log_settings::path>("path", optional, {0, max_path_bytes}),
    member_key<&log_settings::lowest>("level", optional)};

/// One table of the settings.
struct section
{
    std::string_view name;
    read_result (*read)(toml_table const&, daemon_settings&);
    std::vector<std::string_view> (*keys)();
};

template <auto Member, auto const& Rules>
constexpr section make_section(std::string_view name)
{
    return {name,
            [](toml_table const& table, daemon_settings& settings)
            {
                return read_table(table, Rules, settings.*Member);
            },
            []
            {
                std::vector<std::string_view> keys;
                for (auto const& rule : Rules)
                    keys.push_back(rule.name);
                return keys;
            }};
}

constexpr std::array sections{
    make_section<&daemon_settings::entry, entry_keys>("entry"),
    make_section<&daemon_settings::platform, platform_keys>("platform"),
    make_section<&daemon_settings::limits, limit_keys>("limits"),
    make_section<&daemon_settings::homes, homes_keys>("homes"),
    make_section<&daemon_settings::peers, peer_keys>("peers"),
    make_section<&daemon_settings::placement, placement_keys>("placement"),
    make_section<&daemon_settings::drain, drain_keys>("drain"),
    make_section<&daemon_settings::log, log_keys>("log")};

read_result check_section_names(toml_table const& root)
{
    for (auto&& [key, node] : *root.table)
    {
        if (std::ranges::find(sections, key.str(), &section::name) ==
            sections.end())
        {
            return refuse({root.origin, std::string(key.str()), &node},
                          result_code::config_unknown_key,
                          "no such table in the settings");
        }
    }
    return {};
}

} // namespace

read_result read_sections(toml_table const& root, daemon_settings& settings)
{
    BOOST_LEAF_CHECK(check_section_names(root));
    for (auto const& each : sections)
    {
        BOOST_LEAF_AUTO(table, subtable_of(root, each.name));
        BOOST_LEAF_CHECK(each.read(table, settings));
    }
    return {};
}

std::vector<std::string> daemon_keys()
{
    std::vector<std::string> keys;
    for (auto const& each : sections)
    {
        for (auto const key : each.keys())
            keys.push_back(std::string(each.name) + "." + std::string(key));
    }
    return keys;
}

} // namespace masticshift::config
