#include "endpoint_protocol.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace masticshift::daemon
{

namespace
{

using placement::task_result;
using transport::call_stage;

constexpr std::string_view task_field = "Masticshift-Task";
constexpr std::string_view deadline_field = "Masticshift-Deadline-Ms";
constexpr std::string_view not_run_field = "Masticshift-Not-Run";

constexpr unsigned status_ok = 200;
constexpr unsigned status_accepted = 202;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

/// Maximum number of bytes of an endpoint's error text that are passed on to
/// the caller.
constexpr std::size_t max_detail = 200;

bool says_not_run(transport::http_response const& response)
{
    return response.fields[not_run_field] == "true";
}

task_reply read_response(transport::http_response response)
{
    task_reply reply;
    if (response.status == status_ok)
    {
        reply.result = task_result::ok;
        reply.content_type = response.fields["Content-Type"];
        reply.output = std::move(response.body);
        return reply;
    }
    reply.result = task_result::failed;
    reply.code = result_code::task_failed;
    reply.detail = std::to_string(response.status) + ": " +
                   response.body.substr(0, max_detail);
    return reply;
}

task_reply read_failure(transport::call_failure const& failed)
{
    task_reply reply;
    reply.detail = failed.error.detail;
    if (failed.stage == call_stage::not_written &&
        failed.error.code == result_code::cancelled)
    {
        reply.result = task_result::cancelled;
        reply.code = result_code::cancelled;
        return reply;
    }
    if (failed.stage != call_stage::written)
    {
        reply.result = task_result::not_connected;
        return reply;
    }
    reply.result = task_result::lost;
    reply.code = failed.error.code == result_code::io_error
                     ? result_code::endpoint_lost
                     : failed.error.code;
    return reply;
}

task_reply mismatch()
{
    task_reply reply;
    reply.result = task_result::lost;
    reply.code = result_code::answer_mismatch;
    reply.detail = "the endpoint's response does not name this task";
    return reply;
}

} // namespace

std::string make_task_label(std::string_view id, std::size_t index,
                            unsigned attempt)
{
    return std::string(id) + "/" + std::to_string(index) + "/" +
           std::to_string(attempt);
}

transport::http_request make_task_request(std::string_view service,
                                          std::string_view label,
                                          std::string body, duration time_left)
{
    auto const left = std::chrono::floor<milliseconds>(time_left).count();
    transport::http_request request;
    request.method = "POST";
    request.target = "/v1/tasks/" + std::string(service);
    request.fields.set(task_field, label);
    request.fields.set(deadline_field,
                       std::to_string(std::max<std::int64_t>(left, 1)));
    request.body = std::move(body);
    return request;
}

transport::http_request
make_cancel_request(std::vector<std::string> const& labels)
{
    boost::json::array tasks(labels.begin(), labels.end());
    boost::json::object body;
    body["tasks"] = std::move(tasks);
    transport::http_request request;
    request.method = "POST";
    request.target = "/v1/cancellations";
    request.fields.set("Content-Type", "application/json");
    request.body = boost::json::serialize(body);
    return request;
}

transport::http_request make_result_request(std::string_view label)
{
    transport::http_request request;
    request.target = "/v1/answers?task=" + transport::percent_encode(label);
    return request;
}

bool names_task(transport::http_response const& response,
                std::string_view label)
{
    return response.fields[task_field] == label;
}

task_reply read_task_reply(transport::call_result result,
                           std::string_view label)
{
    if (!result)
        return read_failure(result.error());
    if (!names_task(*result, label))
        return mismatch();
    if (result->status == status_unavailable && says_not_run(*result))
    {
        task_reply reply;
        reply.result = task_result::refused_not_run;
        reply.detail = "the endpoint refused the task without running it";
        return reply;
    }
    return read_response(std::move(*result));
}

recovery_reply read_recovery_reply(transport::call_result result,
                                   std::string_view label)
{
    recovery_reply recovered;
    if (!result || !names_task(*result, label))
        return recovered;
    if (result->status == status_accepted)
    {
        recovered.state = recovery_state::running;
        return recovered;
    }
    if (result->status == status_not_found)
    {
        if (!says_not_run(*result))
            return recovered;
        recovered.state = recovery_state::ended;
        recovered.reply.result = task_result::refused_not_run;
        recovered.reply.detail = "the endpoint has never received the task";
        return recovered;
    }
    recovered.state = recovery_state::ended;
    recovered.reply = read_response(std::move(*result));
    return recovered;
}

} // namespace masticshift::daemon
