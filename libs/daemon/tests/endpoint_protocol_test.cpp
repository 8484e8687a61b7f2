#include "endpoint_protocol.hpp"

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::daemon;
using placement::task_result;
using transport::call_failure;
using transport::call_result;
using transport::call_stage;
using transport::http_response;

namespace
{

constexpr auto label = "id/0/1";

http_response make_response(unsigned status, std::string_view task = label)
{
    http_response response;
    response.status = status;
    response.fields.set("Masticshift-Task", task);
    response.body = "body";
    return response;
}

http_response make_refusal(unsigned status)
{
    auto response = make_response(status);
    response.fields.set("Masticshift-Not-Run", "true");
    return response;
}

call_result make_failure(call_stage stage, result_code code)
{
    return call_failure{stage, {code, "detail"}};
}

} // namespace

TEST_CASE("a response is accepted only if it names the task")
{
    CHECK(read_task_reply(make_response(200), label).result == task_result::ok);
    for (auto const* other : {"id/0/2", "id/1/1", "other/0/1", ""})
    {
        auto const reply = read_task_reply(make_response(200, other), label);
        CHECK(reply.result == task_result::lost);
        CHECK(reply.code == result_code::answer_mismatch);
        CHECK(reply.output.empty());
    }
    http_response unnamed;
    CHECK(read_task_reply(unnamed, label).result == task_result::lost);
    auto mismatched = make_refusal(503);
    mismatched.fields.set("Masticshift-Task", "id/0/2");
    CHECK(read_task_reply(mismatched, label).result == task_result::lost);
}

TEST_CASE("a task counts as not run only if the endpoint reports so")
{
    CHECK(read_task_reply(make_refusal(503), label).result ==
          task_result::refused_not_run);
    auto const busy = read_task_reply(make_response(503), label);
    CHECK(busy.result == task_result::failed);
    CHECK(busy.code == result_code::task_failed);
    CHECK(read_task_reply(make_refusal(500), label).result ==
          task_result::failed);
}

TEST_CASE("a task of a failed call is lost only if it was written")
{
    auto const refused =
        make_failure(call_stage::not_connected, result_code::io_error);
    CHECK(read_task_reply(refused, label).result == task_result::not_connected);
    auto const unsent =
        make_failure(call_stage::not_written, result_code::io_error);
    CHECK(read_task_reply(unsent, label).result == task_result::not_connected);
    auto const lost = read_task_reply(
        make_failure(call_stage::written, result_code::io_error), label);
    CHECK(lost.result == task_result::lost);
    CHECK(lost.code == result_code::endpoint_lost);
    auto const late = read_task_reply(
        make_failure(call_stage::written, result_code::deadline_passed), label);
    CHECK(late.result == task_result::lost);
    CHECK(late.code == result_code::deadline_passed);
}

TEST_CASE(
    "a call cancelled before it was written is no failure of the endpoint")
{
    auto const reply = read_task_reply(
        make_failure(call_stage::not_written, result_code::cancelled), label);
    CHECK(reply.result == task_result::cancelled);
}

TEST_CASE("a recovery reply is ended, running or unknown")
{
    auto const ended = read_recovery_reply(make_response(200), label);
    CHECK(ended.state == recovery_state::ended);
    CHECK(ended.reply.result == task_result::ok);
    auto const failed = read_recovery_reply(make_response(500), label);
    CHECK(failed.reply.result == task_result::failed);
    CHECK(read_recovery_reply(make_response(202), label).state ==
          recovery_state::running);
    auto const never = read_recovery_reply(make_refusal(404), label);
    CHECK(never.state == recovery_state::ended);
    CHECK(never.reply.result == task_result::refused_not_run);
    CHECK(read_recovery_reply(make_response(404), label).state ==
          recovery_state::unknown);
    CHECK(read_recovery_reply(make_response(200, "id/0/2"), label).state ==
          recovery_state::unknown);
    auto const unreachable =
        make_failure(call_stage::not_connected, result_code::io_error);
    CHECK(read_recovery_reply(unreachable, label).state ==
          recovery_state::unknown);
}

TEST_CASE("a task request carries label, time left and service")
{
    auto const call =
        make_task_request("echo", label, "input", milliseconds(1'500));
    CHECK(call.target == "/v1/tasks/echo");
    CHECK(call.fields["Masticshift-Task"] == label);
    CHECK(call.fields["Masticshift-Deadline-Ms"] == "1500");
    auto const late = make_task_request("echo", label, "", milliseconds(-3));
    CHECK(late.fields["Masticshift-Deadline-Ms"] == "1");
    CHECK(make_result_request("a~b/0/1").target ==
          "/v1/answers?task=a~b%2F0%2F1");
}
