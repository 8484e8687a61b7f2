#include "submission.hpp"

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::daemon;

namespace
{

constexpr unsigned max_tasks = 3;

outcome<submission> parse_job_text(std::string body)
{
    submission_call call;
    call.body = std::move(body);
    return parse_submission(call, max_tasks);
}

submission_call make_request_call()
{
    submission_call call;
    call.kind = homes::submission_kind::request;
    call.service = "echo";
    call.body = "not JSON";
    return call;
}

} // namespace

TEST_CASE("all fields of a job are parsed")
{
    auto const parsed = parse_job_text(
        R"({"id":"i","key":"k","service":"s","timeout_ms":5,)"
        R"("tasks":[{"input":{"a":[1]},"size":0.5},{"input":null}]})");
    REQUIRE(parsed.has_value());
    CHECK(parsed->id == "i");
    CHECK(parsed->key == "k");
    CHECK(parsed->service == "s");
    CHECK(parsed->timeout == milliseconds(5));
    REQUIRE(parsed->tasks.size() == 2);
    CHECK(parsed->tasks[0].body == R"({"a":[1]})");
    CHECK(parsed->tasks[0].size == 0.5F);
    CHECK(parsed->tasks[1].body == "null");
    CHECK(parsed->tasks[1].size == 1);
}

TEST_CASE("an error about a malformed job names the fault")
{
    struct fault
    {
        char const* body;
        char const* named;
    };
    for (auto const& fault :
         {fault{"", "JSON"}, fault{"{} {}", "JSON"}, fault{"7", "object"},
          fault{R"({"tasks":[{"input":1}]})", "'service'"},
          fault{R"({"service":"s"})", "'tasks'"},
          fault{R"({"service":"s","tasks":{}})", "'tasks'"},
          fault{R"({"service":"s","tasks":[1]})", "task"},
          fault{R"({"service":"s","tasks":[{"size":1}]})", "'input'"},
          fault{R"({"service":"s","tasks":[{"input":1,"size":0}]})", "'size'"},
          fault{R"({"service":"s","tasks":[{"input":1,"size":1e99}]})",
                "'size'"},
          fault{R"({"service":"s","tasks":[{"input":1,"size":"1"}]})",
                "'size'"},
          fault{R"({"service":"s","tasks":[{"input":1,"x":1}]})", "'x'"},
          fault{R"({"service":"s","timeout_ms":0,"tasks":[{"input":1}]})",
                "'timeout_ms'"},
          fault{R"({"service":"s","timeout_ms":3600001,"tasks":[{"input":1}]})",
                "'timeout_ms'"},
          fault{R"({"service":"s","timeout_ms":1.5,"tasks":[{"input":1}]})",
                "'timeout_ms'"},
          fault{R"({"id":1,"service":"s","tasks":[{"input":1}]})", "'id'"},
          fault{R"({"y":1,"service":"s","tasks":[{"input":1}]})", "'y'"}})
    {
        INFO(fault.body);
        auto const parsed = parse_job_text(fault.body);
        REQUIRE_FALSE(parsed.has_value());
        CHECK(parsed.error().code == result_code::malformed_request);
        CHECK(parsed.error().detail.find(fault.named) != std::string::npos);
    }
    auto const large =
        parse_job_text(R"({"service":"s","tasks":[{"input":1},{"input":1},)"
                       R"({"input":1},{"input":1}]})");
    REQUIRE_FALSE(large.has_value());
    CHECK(large.error().code == result_code::too_many_tasks);
}

TEST_CASE("the body of a request is kept unchanged")
{
    auto const call = make_request_call();
    auto const parsed = parse_submission(call, max_tasks);
    REQUIRE(parsed.has_value());
    REQUIRE(parsed->tasks.size() == 1);
    CHECK(parsed->tasks[0].body == call.body);
}

TEST_CASE("a request without a service or with a bad timeout is refused")
{
    auto call = make_request_call();
    call.service.clear();
    CHECK_FALSE(parse_submission(call, max_tasks).has_value());
    call = make_request_call();
    call.timeout = milliseconds(-1);
    CHECK_FALSE(parse_submission(call, max_tasks).has_value());
    call.timeout = max_timeout + milliseconds(1);
    CHECK_FALSE(parse_submission(call, max_tasks).has_value());
}

TEST_CASE("submissions that differ in any part have different digests")
{
    auto const call = make_request_call();
    auto const digest = parse_submission(call, max_tasks)->digest;
    CHECK(parse_submission(call, max_tasks)->digest == digest);
    auto other = call;
    other.idempotent = true;
    CHECK_FALSE(parse_submission(other, max_tasks)->digest == digest);
    other = call;
    other.timeout = milliseconds(1);
    CHECK_FALSE(parse_submission(other, max_tasks)->digest == digest);
    other = call;
    other.service = "other";
    CHECK_FALSE(parse_submission(other, max_tasks)->digest == digest);
}
