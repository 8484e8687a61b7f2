#include "platform_messages.hpp"

#include <store/vm_list.hpp>

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::store;

namespace
{

commit_state state_of_response(unsigned status, std::string const& body)
{
    return commit_result(transport::http_response{status, {}, body}).state;
}

outcome<table_entry> entry_of(unsigned status, std::string const& body)
{
    return parse_table_entry(transport::http_response{status, {}, body});
}

} // namespace

TEST_CASE(
    "a commit response is unknown unless its status and body are as expected")
{
    CHECK(state_of_response(200, R"({"versions": [1]})") ==
          commit_state::committed);
    CHECK(state_of_response(409, R"({"conflicts": []})") ==
          commit_state::conflict);
    CHECK(state_of_response(400, "") == commit_state::not_written);
    for (auto const* body : {"", "[]", "{}", "{\"versions\": 1}", "<html>"})
    {
        CHECK(state_of_response(200, body) == commit_state::unknown);
        CHECK(state_of_response(409, body) == commit_state::unknown);
        CHECK(state_of_response(503, body) == commit_state::unknown);
    }
}

TEST_CASE("a failed commit is not_written only if no byte was sent")
{
    using transport::call_stage;
    auto const state = [](call_stage stage)
    {
        return commit_result(transport::call_failure{stage, {}}).state;
    };
    CHECK(state(call_stage::not_connected) == commit_state::not_written);
    CHECK(state(call_stage::not_written) == commit_state::not_written);
    CHECK(state(call_stage::written) == commit_state::unknown);
}

TEST_CASE("an absent key is distinguished from a malformed response")
{
    CHECK(entry_of(404, "")->version == 0);
    CHECK(entry_of(200, R"({"version": 3, "value": "x"})")->version == 3);
    CHECK(entry_of(503, "").error().code == result_code::platform_unavailable);
    for (auto const* body :
         {"", "{}", R"({"version": 0, "value": "x"})",
          R"({"version": -1, "value": "x"})", R"({"version": 3})"})
    {
        CHECK(entry_of(200, body).error().code ==
              result_code::platform_bad_answer);
    }
}

TEST_CASE("names of tables and keys are percent-encoded")
{
    CHECK(read_request({"a/b", "c?d"}).target == "/v1/table/a%2Fb/c%3Fd");
}

TEST_CASE("a VM list with a malformed row is refused")
{
    std::string const row =
        R"({"address": "127.0.0.1:1", "data_centre": "de", "role": "endpoint",
            "state": "leaving"})";
    auto const list_of = [](std::string const& rows)
    {
        return parse_vm_list(R"({"as_of_us": 5, "vms": [)" + rows + "]}");
    };
    REQUIRE(list_of(row).has_value());
    CHECK(list_of(row)->vms.at(0).state == vm_state::leaving);
    CHECK(list_of("")->as_of_us == 5);
    for (auto const* bad :
         {"1", "{}",
          R"({"address": "x:1", "data_centre": "de", "role": "endpoint",
              "state": "live"})",
          R"({"address": "127.0.0.1:1", "data_centre": "de", "role": "x",
              "state": "live"})"})
        CHECK_FALSE(list_of(row + "," + bad).has_value());
    CHECK_FALSE(parse_vm_list("[]").has_value());
    CHECK_FALSE(parse_vm_list(R"({"vms": []})").has_value());
}
