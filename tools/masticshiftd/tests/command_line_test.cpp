#include "entry_process.hpp"

using namespace entry_test;

namespace
{

struct program_result
{
    int exit_code = -1;
    /// Both output streams.
    std::string output;
};

std::string read_file(std::string const& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

program_result run(std::vector<std::string> arguments)
{
    std::string name =
        (std::filesystem::temp_directory_path() / "output_XXXXXX").string();
    auto const file = mkstemp(name.data());
    REQUIRE(file >= 0);
    ::close(file);
    process program("masticshiftd", std::move(arguments), name);
    program_result result;
    while (true)
    {
        auto const line = program.read_line();
        if (line.empty())
            break;
        result.output += line;
    }
    result.exit_code = program.wait();
    result.output += read_file(name);
    std::filesystem::remove(name);
    return result;
}

/// Runs `--check` on the sample settings with one line replaced.
program_result check_with(std::string const& line,
                          std::string const& replacement)
{
    auto text = read_file(MASTICSHIFT_SOURCE_DIR "/samples/entry.toml");
    auto const found = text.find(line);
    REQUIRE(found != std::string::npos);
    text.replace(found, line.size(), replacement);
    std::string name =
        (std::filesystem::temp_directory_path() / "settings_XXXXXX").string();
    auto const file = mkstemp(name.data());
    REQUIRE(file >= 0);
    ::close(file);
    std::ofstream(name) << text;
    auto result = run({"--settings", name, "--check"});
    CHECK(contains(result.output, name + ":") == (result.exit_code != 0));
    std::filesystem::remove(name);
    return result;
}

} // namespace

TEST_CASE("the sample settings pass the check")
{
    auto const result = check_with("max_tasks = 890", "max_tasks = 889");
    INFO(result.output);
    CHECK(result.exit_code == 0);
}

TEST_CASE("invalid settings are reported with code, file and line")
{
    struct fault
    {
        char const* line;
        char const* replacement;
        /// Line number as it appears in the message.
        char const* location;
        char const* code;
    };
    for (auto const& fault :
         {fault{"max_tasks = 890", "max_task = 890", ":26:", "401"},
          fault{"max_tasks = 890", "max_tasks = \"many\"", ":26:", "402"},
          fault{"max_tasks = 890", "max_tasks = 891", ":26:", "403"},
          fault{"max_tasks = 890", "max_tasks = ", ":26:", "400"},
          fault{"data_centre = \"ikeja\"", "", ":4:", "404"},
          fault{"[drain]", "[drian]", ":63:", "401"}})
    {
        INFO(fault.replacement);
        auto const result = check_with(fault.line, fault.replacement);
        INFO(result.output);
        CHECK(result.exit_code == 4);
        CHECK(contains(result.output, fault.location));
        CHECK(contains(result.output, fault.code));
    }
}

TEST_CASE("a missing file and missing flags have different result codes")
{
    auto const missing_file = run({"--settings", "/nonexistent"});
    CHECK(missing_file.exit_code == 5);
    CHECK(contains(missing_file.output, "506"));
    auto const missing_flags = run({});
    CHECK(missing_flags.exit_code == 5);
    CHECK(contains(missing_flags.output, "505"));
}

TEST_CASE("--help and --version print the help text and the version")
{
    CHECK(contains(run({"--help"}).output, "-settings"));
    auto const version = run({"--version"});
    CHECK(contains(version.output, "0.1.0"));
    CHECK(version.exit_code == 0);
}
