#include <doctest/doctest.h>

#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

namespace
{

struct program_result
{
    int exit_code = -1;
    /// Both output streams.
    std::string output;
};

program_result run(std::string const& arguments)
{
    auto const line =
        std::string(MASTICSHIFT_BIN_DIR "/masticshift ") + arguments + " 2>&1";
    program_result result;
    auto* const pipe = popen(line.c_str(), "r");
    REQUIRE(pipe != nullptr);
    std::array<char, 4'096> chunk{};
    while (std::fgets(chunk.data(), chunk.size(), pipe) != nullptr)
        result.output += chunk.data();
    result.exit_code = WEXITSTATUS(pclose(pipe));
    return result;
}

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

std::string const samples = MASTICSHIFT_SOURCE_DIR "/samples/";

} // namespace

TEST_CASE("the sample configurations pass the check")
{
    CHECK(run("check " + samples + "orderdesk.toml").exit_code == 0);
    auto const result = run("check --json " + samples + "bookings.toml");
    CHECK(result.exit_code == 0);
    CHECK(contains(result.output, "\"endpoints\":6"));
}

TEST_CASE("an invalid configuration is reported with file, code and advice")
{
    auto const result = run("check " + samples + "entry.toml");
    CHECK(result.exit_code == 4);
    CHECK(contains(result.output, "config_unknown_key (401)"));
    CHECK(contains(result.output, "entry.toml:"));
    CHECK(contains(result.output, "Remove or correct the key"));
}

TEST_CASE("a valid configuration that can't work is reported with an exit code")
{
    auto const file = std::filesystem::temp_directory_path() /
                      ("contradiction-" + std::to_string(getpid()) + ".toml");
    auto const path = file.string();
    std::ofstream(path) << "[data_centre.a]\nregion = \"r\"\n"
                           "[endpoint.a1]\naddress = \"127.0.0.1:9101\"\n"
                           "data_centre = \"a\"\n"
                           "[service.stock]\nendpoints = [\"a1\"]\n"
                           "timeout_ms = 10\n";
    auto const result = run("check " + path);
    CHECK(result.exit_code == 4);
    CHECK(contains(result.output, "error: service.stock.timeout_ms"));
    CHECK(contains(result.output, "config_contradiction (410)"));
    auto const json = run("check --json " + path);
    CHECK(json.exit_code == 4);
    CHECK(contains(json.output, "\"place\":\"service.stock.timeout_ms\""));
    CHECK(run("check --platform 127.0.0.1:1 " + samples + "orderdesk.toml")
              .exit_code == 2);
    std::filesystem::remove(file);
}

TEST_CASE("a configuration of the users' platform is checked too")
{
    auto const file = std::filesystem::temp_directory_path() /
                      ("queues-" + std::to_string(getpid()) + ".json");
    std::ofstream(file)
        << R"({"version": 3, "routes": [{"name": "quotes", "host": "h",
              "path_prefix": "quotes/", "slack_factor": 2}]})";
    auto const result = run("check " + file.string());
    CHECK(result.exit_code == 4);
    CHECK(contains(result.output, "version 3, 1 queues"));
    CHECK(contains(result.output, "error: queue.quotes.path_prefix"));
    std::ofstream(file) << R"({"version": 3})";
    CHECK(contains(run("check " + file.string()).output, "config_syntax"));
    std::filesystem::remove(file);
}

TEST_CASE("invalid command lines are refused with the usage code")
{
    for (auto const* arguments :
         {"", "fly", "check", "check a b", "--bogus", "check --json=perhaps a",
          "apply a", "show --platform nowhere", "status", "drain --entry 1",
          "submit --entry 127.0.0.1:1", "cancel", "show --expect",
          "drain --entry 127.0.0.1:1,127.0.0.1:2",
          "submit --entry 127.0.0.1:1 --timeout_ms -1"})
    {
        INFO(arguments);
        auto const result = run(arguments);
        CHECK(result.exit_code == 5);
        CHECK(contains(result.output, "usage"));
    }
}

TEST_CASE(
    "a missing file and an unreachable platform have different result codes")
{
    CHECK(contains(run("check /nonexistent").output, "io_error (506)"));
    auto const result = run("show --platform 127.0.0.1:1 --json");
    CHECK(result.exit_code == 2);
    CHECK(contains(result.output, "\"name\":\"platform_unavailable\""));
}

TEST_CASE("--help and --version print the help text and the version")
{
    CHECK(contains(run("--help").output, "usage: masticshift COMMAND"));
    CHECK(run("--help").exit_code == 0);
    CHECK(contains(run("--version").output, "masticshift 0.1.0"));
}
