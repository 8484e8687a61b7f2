#include <config/operator_configuration.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <fstream>
#include <iterator>
#include <string>

using namespace masticshift;
using namespace masticshift::config;

namespace
{

std::string const centres = "[data_centre.ikeja]\n"        // line 1
                            "region = \"ng\"\n"            // 2
                            "[data_centre.apapa]\n"        // 3
                            "region = \"ng\"\n";           // 4
std::string const endpoint = "[endpoint.a]\n"              // 5
                             "address = \"127.0.0.1:1\"\n" // 6
                             "data_centre = \"ikeja\"\n";  // 7
std::string const service = "[service.s]\n"                // 8
                            "endpoints = [\"a\"]\n";       // 9
std::string const valid = centres + endpoint + service;

struct refusal
{
    std::string toml;
    result_code code;
    unsigned line;
    /// Text that the detail must contain.
    std::string part;
};

void check_refusal(refusal const& expected)
{
    INFO(expected.toml.substr(0, 400));
    auto const loaded = load_operator_configuration(expected.toml, "text");
    REQUIRE(loaded.has_error());
    CHECK(loaded.error().code == expected.code);
    auto const prefix = "text:" + std::to_string(expected.line) + ": ";
    INFO(loaded.error().detail);
    CHECK(loaded.error().detail.starts_with(prefix));
    CHECK(loaded.error().detail.find(expected.part) != std::string::npos);
}

std::string read_sample(std::string const& name)
{
    std::ifstream file(MASTICSHIFT_SOURCE_DIR "/samples/" + name);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string service_table(std::string const& name,
                          std::string const& depends_on)
{
    return "[service." + name + "]\nendpoints = [\"a\"]\ndepends_on = [" +
           depends_on + "]\n";
}

std::string repeat(std::string const& part, unsigned times)
{
    std::string all;
    for (unsigned i = 0; i < times; ++i)
        all += part;
    return all;
}

} // namespace

TEST_CASE("a service configuration is read, and absent keys get defaults")
{
    auto const loaded = load_operator_configuration(valid, "text");
    REQUIRE(loaded.has_value());
    CHECK(loaded->revision == 0);
    CHECK(loaded->text == valid);
    CHECK(loaded->endpoints.at("a").ip == "127.0.0.1");
    CHECK(loaded->endpoints.at("a").port == 1);
    CHECK(loaded->endpoints.at("a").connections == 64);
    CHECK(loaded->services.at("s").run_time == milliseconds(200));
    CHECK(loaded->data_centres.at("ikeja").nearest ==
          std::vector<std::string>{"apapa"});
}

TEST_CASE("the sample service configurations are valid")
{
    for (auto const* name : {"orderdesk.toml", "bookings.toml"})
    {
        auto const loaded =
            load_operator_configuration(read_sample(name), name);
        INFO((loaded ? "" : loaded.error().detail));
        REQUIRE(loaded.has_value());
        CHECK(loaded->data_centres.size() == 3);
        CHECK(loaded->endpoints.size() == 6);
    }
}

TEST_CASE("each fault is refused with its line and result code")
{
    using enum result_code;
    std::vector<refusal> const refusals{
        {valid + "x = [1\n", config_syntax, 10, ""},
        {valid + "slot = 1\n", config_unknown_key, 10, "'slot'"},
        {valid + "[limits]\n", config_unknown_key, 10, "limits"},
        {valid + "[service.a.b]\n", config_unknown_key, 10, "'b'"},
        {valid + "run_time_ms = \"1\"\n", config_wrong_type, 10, "integer"},
        {valid + "run_time_ms = 1.5\n", config_wrong_type, 10, "integer"},
        {valid + "recoverable = 1\n", config_wrong_type, 10, "true or false"},
        {valid + "run_time_ms = 0\n", config_out_of_range, 10, "1 to"},
        {valid + "queue_limit = -1\n", config_out_of_range, 10, "0 to"},
        {valid + "queue_limit = 4294967296\n", config_out_of_range, 10, ""},
        {valid + "depends_on = \"s\"\n", config_wrong_type, 10, "array"},
        {valid + "depends_on = [1]\n", config_wrong_type, 10, "string"},
        {valid + "depends_on = [\"t\"]\n", config_unknown_reference, 10, "t"},
        {valid + "depends_on = [\"s\"]\n", config_cycle, 10, "s -> s"},
        {"service = 1\n", config_wrong_type, 1, "table"},
        {"[service]\ns = 1\n", config_wrong_type, 2, "service.s"},
        {"", config_missing_key, 1, "service"},
        {centres + endpoint, config_missing_key, 1, "service"},
        {centres + endpoint + "[service.s]\n", config_missing_key, 8,
         "endpoints"},
        {centres + endpoint + "[service.s]\nendpoints = []\n",
         config_out_of_range, 9, "at least one"},
        {centres + endpoint + "[service.s]\nendpoints = [\"b\"]\n",
         config_unknown_reference, 9, "'b'"},
        {centres + endpoint + "[service.s]\nendpoints = [\n\"a\",\n\"a\"]\n",
         config_duplicate, 11, "twice"},
        {valid + "[service.\"a b\"]\n", config_out_of_range, 10, "name"},
        {valid + "[service.\"\"]\n", config_out_of_range, 10, "name"},
        {valid + "[service." + std::string(65, 'x') + "]\n",
         config_out_of_range, 10, "64"},
        {valid + "[endpoint.b]\naddress = \"127.0.0.1:1\"\n"
                 "data_centre = \"ikeja\"\n",
         config_duplicate, 11, "'a'"},
        {valid + "[endpoint.b]\naddress = \"localhost:1\"\n"
                 "data_centre = \"ikeja\"\n",
         config_wrong_type, 11, "IP:PORT"},
        {valid + "[endpoint.b]\naddress = \"127.0.0.1:0\"\n"
                 "data_centre = \"ikeja\"\n",
         config_out_of_range, 11, "connect"},
        {valid + "[endpoint.b]\naddress = \"127.0.0.1:2\"\n"
                 "data_centre = \"ibadan\"\n",
         config_unknown_reference, 12, "ibadan"},
        {valid + "[data_centre.x]\nregion = \"ng\"\nnearest = [\"x\"]\n",
         config_duplicate, 12, "itself"},
        {valid + "[service.s]\n", config_syntax, 10, ""},
        {valid + "timeout_ms = 1\ntimeout_ms = 2\n", config_syntax, 11, ""},
        {"\xff = 1\n", config_syntax, 1, ""}};
    for (auto const& each : refusals)
        check_refusal(each);
}

TEST_CASE("the error for a cycle lists only the services that form it")
{
    auto const text = centres + endpoint + service_table("a", "\"b\"") +
                      service_table("b", "\"c\", \"d\"") +
                      service_table("c", "\"b\"") + service_table("d", "");
    check_refusal({text, result_code::config_cycle, 13, "b -> c -> b"});
}

TEST_CASE("a long chain of dependencies is accepted and a long cycle is "
          "refused with a short error")
{
    constexpr unsigned length = 10'000;
    std::string chain = centres + endpoint;
    for (unsigned i = 0; i < length; ++i)
    {
        chain += service_table(
            "n" + std::to_string(i),
            i + 1 < length ? "\"n" + std::to_string(i + 1) + "\"" : "");
    }
    CHECK(load_operator_configuration(chain, "text").has_value());
    auto const last = chain.rfind("[]");
    chain.replace(last, 2, "[\"n0\"]");
    auto const loaded = load_operator_configuration(chain, "text");
    REQUIRE(loaded.has_error());
    CHECK(loaded.error().code == result_code::config_cycle);
    CHECK(loaded.error().detail.size() < 400);
}

TEST_CASE("size and nesting are limited before the text is parsed")
{
    using enum result_code;
    auto const deep_array = "x = " + repeat("[", 300'000);
    auto const deep_table = "x = " + repeat("{a=", 300'000);
    auto const dotted = repeat("a.", 400'000) + "a = 1\n";
    auto const header = "[" + repeat("a . ", 200'000) + "a]\n";
    auto const quoted = repeat("\"=,\".", 200'000) + "a = 1\n";
    check_refusal({deep_array, config_syntax, 1, "nested"});
    check_refusal({deep_table, config_syntax, 1, "nested"});
    check_refusal({dotted, config_syntax, 1, "dotted"});
    check_refusal({header, config_syntax, 1, "dotted"});
    check_refusal({quoted, config_syntax, 1, "dotted"});
    check_refusal(
        {"x = '#'\ny = \"\\\"#\"\n" + dotted, config_syntax, 3, "dotted"});
    check_refusal({"x = \"\"\"\n\"\"\"\n", config_syntax, 1, "multi-line"});
    check_refusal(
        {std::string((1 << 20) + 1, '#'), config_out_of_range, 1, "longer"});
    auto const comment = valid + "# " + repeat("a. ", 100);
    CHECK(load_operator_configuration(comment, "text").has_value());
    auto const longest = valid + std::string((1 << 20) - valid.size(), '#');
    CHECK(load_operator_configuration(longest, "text").has_value());
}

TEST_CASE("damaged texts are accepted or refused with a code from 400 to 499")
{
    CHECK(rc::check(
        [sample = read_sample("orderdesk.toml")]
        {
            auto text = sample;
            auto const changes = *rc::gen::inRange(1, 4);
            for (int i = 0; i < changes; ++i)
            {
                auto const at = *rc::gen::inRange<std::size_t>(0, text.size());
                auto const piece = *rc::gen::element<std::string>(
                    "[", "]", "\"", "'", ".", "=", "\n", "#", "\xff", "{", "-",
                    "9", "\r", "\\");
                text.replace(at, *rc::gen::inRange(0, 3), piece);
            }
            auto const loaded = load_operator_configuration(text, "text");
            if (loaded)
                return;
            RC_ASSERT(exit_code_of(loaded.error().code) == 4);
            RC_ASSERT(loaded.error().detail.starts_with("text:"));
        }));
}
