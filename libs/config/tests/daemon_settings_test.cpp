#include <config/daemon_settings.hpp>

#include "daemon_keys.hpp"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <tuple>

#include <boost/leaf/handle_errors.hpp>

using namespace masticshift;
using namespace masticshift::config;

namespace
{

std::string const sample_path = MASTICSHIFT_SOURCE_DIR "/samples/entry.toml";

std::string const required_keys = "[entry]\n"                 // line 1
                                  "data_centre = \"ikeja\"\n" // 2
                                  "caller_address = \"127.0.0.1:8101\"\n"   // 3
                                  "peer_address = \"127.0.0.1:8201\"\n"     // 4
                                  "operator_address = \"127.0.0.1:8301\"\n" // 5
                                  "[platform]\n"                            // 6
                                  "address = \"127.0.0.1:8001\"\n";         // 7

outcome<daemon_settings> parse(std::string const& text)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<outcome<daemon_settings>>
        {
            BOOST_LEAF_AUTO(settings, parse_daemon_settings(text, "entry"));
            return outcome<daemon_settings>(settings);
        },
        [](failure const& error)
        {
            return outcome<daemon_settings>(error);
        },
        []
        {
            return outcome<daemon_settings>(failure{result_code::internal});
        });
}

void check_refusal(std::string const& text, result_code code, unsigned line)
{
    INFO(text);
    auto const settings = parse(text);
    REQUIRE(settings.has_error());
    INFO(settings.error().detail);
    CHECK(settings.error().code == code);
    CHECK(settings.error().detail.starts_with("entry:" + std::to_string(line) +
                                              ": "));
}

auto all_limits(limit_settings const& each)
{
    auto const& [body, answer, header, tasks, connections, read, idle, endpoint,
                 connect] = each;
    return std::tuple(body, answer, header, tasks, connections, read, idle,
                      endpoint, connect);
}

auto all_homes(homes_settings const& each)
{
    auto const& [generation, retention, ids, bytes, key] = each;
    return std::tuple(generation, retention, ids, bytes, key);
}

auto all_peers(peer_settings const& each)
{
    auto const& [addresses, interval, dead, call] = each;
    return std::tuple(addresses, interval, dead, call);
}

auto all_others(daemon_settings const& each)
{
    auto const& [policy, loan, batch] = each.placement;
    auto const& [source, path, lowest] = each.log;
    return std::tuple(policy, loan, batch, source, path, lowest,
                      each.drain.limit, each.platform.call_timeout,
                      each.platform.poll_interval);
}

} // namespace

TEST_CASE("the sample settings contain every key with its default")
{
    std::ifstream file(sample_path);
    std::string const text{std::istreambuf_iterator<char>(file), {}};
    std::string section;
    std::vector<std::string> found;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);)
    {
        if (line.starts_with("["))
            section = line.substr(1, line.find(']') - 1);
        else if (!line.empty() && !line.starts_with("#"))
            found.push_back(section + "." + line.substr(0, line.find(' ')));
    }
    CHECK(found == daemon_keys());

    auto const sample = load_daemon_settings(sample_path);
    INFO((sample ? "" : sample.error().detail));
    REQUIRE(sample.has_value());
    auto const minimal = parse(required_keys);
    REQUIRE(minimal.has_value());
    CHECK(all_limits(sample->limits) == all_limits(minimal->limits));
    CHECK(all_homes(sample->homes) == all_homes(minimal->homes));
    CHECK(all_peers(sample->peers) == all_peers(minimal->peers));
    CHECK(all_others(*sample) == all_others(*minimal));
}

TEST_CASE("each value is stored in the member of its key")
{
    auto const settings =
        parse(required_keys + "timeout_ms = 7\n[limits]\nmax_tasks = 5\n"
                              "[peers]\naddresses = [\"[::1]:1\"]\n");
    CHECK(settings.has_error());
    auto const good =
        parse(required_keys + "timeout_ms = 7\n[limits]\nmax_tasks = 5\n"
                              "[peers]\naddresses = [\"0:0::1:9\"]\n"
                              "[log]\nlevel = \"debug\"\n");
    REQUIRE(good.has_value());
    CHECK(good->entry.data_centre == "ikeja");
    CHECK(good->platform.call_timeout == milliseconds(7));
    CHECK(good->limits.max_tasks == 5);
    CHECK(good->peers.addresses == std::vector{socket_address{"::1", 9}});
    CHECK(good->log.lowest == log_level::debug);
}

TEST_CASE("each fault in the settings is refused with its line and result code")
{
    using enum result_code;
    check_refusal("", config_missing_key, 1);
    check_refusal("[entry]\n", config_missing_key, 1);
    check_refusal(required_keys + "x = 1\n", config_unknown_key, 8);
    check_refusal(required_keys + "[limit]\n", config_unknown_key, 8);
    check_refusal(required_keys + "[limits]\nmax_tasks = true\n",
                  config_wrong_type, 9);
    check_refusal(required_keys + "[limits]\nmax_tasks = 0\n",
                  config_out_of_range, 9);
    check_refusal(required_keys + "[limits]\nmax_tasks = 891\n",
                  config_out_of_range, 9);
    check_refusal(required_keys + "[log]\nlevel = \"loud\"\n",
                  config_out_of_range, 9);
    check_refusal(required_keys + "[homes]\nkey = 5\n", config_wrong_type, 9);
    check_refusal(required_keys + "[peers]\naddresses = [\"0.0.0.0:1\"]\n",
                  config_out_of_range, 9);
    check_refusal(required_keys + "[peers]\nheartbeat_interval_ms = 500\n"
                                  "dead_after_ms = 500\n",
                  config_out_of_range, 10);
    auto same = required_keys;
    same.replace(same.find("8301"), 4, "8101");
    check_refusal(same, config_duplicate, 1);
}

TEST_CASE("an error for a file that cannot be read names the file")
{
    auto const missing = load_daemon_settings("/nonexistent/entry.toml");
    REQUIRE(missing.has_error());
    CHECK(missing.error().code == result_code::io_error);
    CHECK(missing.error().detail.find("entry.toml") != std::string::npos);
    CHECK(load_daemon_settings("/").has_error());
}
