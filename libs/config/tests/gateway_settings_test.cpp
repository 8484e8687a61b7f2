#include <config/gateway_settings.hpp>

#include "to_outcome.hpp"

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::config;

namespace
{

constexpr auto complete = R"([gateway]
name = "edge-1"
data_centre = "north"
caller_address = "10.0.0.1:80"
ready_address = "10.0.0.1:81"
peer_address = "10.0.0.1:82"
processors = 0.25

[peers]
addresses = ["10.0.0.2:82"]

[store]
address = "10.9.9.9:1"

[bounds]
longest_lease_ms = 900
remote_factor = 1.5
grace_seconds = 6.5
)";

outcome<gateway_settings> parse(std::string const& text)
{
    return to_outcome<gateway_settings>(
        [&]
        {
            return parse_gateway_settings(text, "test");
        });
}

} // namespace

TEST_CASE("settings of a gateway are read, and absent keys get defaults")
{
    auto const settings = parse(complete);
    REQUIRE(settings.has_value());
    CHECK(settings->gateway.name == "edge-1");
    CHECK(settings->gateway.processors == doctest::Approx(0.25));
    CHECK(settings->gateway.peer_listen_address ==
          settings->gateway.peer_address);
    CHECK(settings->seeds.size() == 1);
    CHECK(settings->bounds.longest_lease == milliseconds(900));
    CHECK(settings->bounds.remote_factor == doctest::Approx(1.5));
    CHECK(settings->bounds.grace_seconds == doctest::Approx(6.5));
}

TEST_CASE("invalid settings of a gateway are refused with a result code")
{
    auto const code_of = [](std::string const& text)
    {
        auto const settings = parse(text);
        return settings ? result_code::ok : settings.error().code;
    };
    std::string const text = complete;
    CHECK(code_of(text + "[odd]\n") == result_code::config_unknown_key);
    CHECK(code_of(text + "odd = 1\n") == result_code::config_unknown_key);
    CHECK(code_of("[gateway]\nname = \"x\"\n") ==
          result_code::config_missing_key);
    auto const code_with =
        [&](std::string const& old, std::string const& changed)
    {
        auto copy = text;
        copy.replace(copy.find(old), old.size(), changed);
        return code_of(copy);
    };
    CHECK(code_with("0.25", "\"much\"") == result_code::config_wrong_type);
    CHECK(code_with("0.25", "-1") == result_code::config_out_of_range);
    CHECK(code_with("900", "1") == result_code::config_out_of_range);
}

TEST_CASE("numbers that are not numbers and equal listen addresses are refused")
{
    std::string text = complete;
    text.replace(text.find("0.25"), 4, "nan");
    auto const not_a_number = parse(text);
    REQUIRE_FALSE(not_a_number.has_value());
    CHECK(not_a_number.error().code == result_code::config_out_of_range);
    text = complete;
    text.replace(text.find("10.0.0.1:81"), 11, "10.0.0.1:80");
    auto const equal = parse(text);
    REQUIRE_FALSE(equal.has_value());
    CHECK(equal.error().code == result_code::config_duplicate);
}

TEST_CASE("settings with a table [gateway] are those of a gateway")
{
    CHECK(has_gateway_settings(complete));
    CHECK_FALSE(has_gateway_settings("[entry]\n"));
    CHECK_FALSE(has_gateway_settings("[gateway"));
}
