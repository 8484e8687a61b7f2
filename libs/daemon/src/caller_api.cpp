#include "caller_api.hpp"

#include "answer.hpp"

#include <boost/json.hpp>

#include <charconv>

namespace masticshift::daemon
{

namespace
{

namespace asio = boost::asio;
using homes::call_origin;
using transport::http_request;
using transport::http_response;

constexpr std::string_view home_path = "/v1/home";
constexpr std::string_view jobs_path = "/v1/jobs";
constexpr std::string_view job_prefix = "/v1/jobs/";
constexpr std::string_view request_prefix = "/v1/requests/";

constexpr milliseconds default_wait{10'000};

std::optional<milliseconds> parse_milliseconds(std::string_view text,
                                               milliseconds max)
{
    std::int64_t count = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, count);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    if (count < 1 || count > max.count())
        return std::nullopt;
    return milliseconds(count);
}

} // namespace

caller_api::caller_api(entry_state& state, submission_service& submissions)
    : state_(state), submissions_(submissions)
{
}

asio::awaitable<std::optional<http_response>>
caller_api::handle(http_request request)
{
    ++state_.metrics.caller_calls;
    auto response = co_await route(std::move(request));
    // The connection must not be in use when the entry stops.
    if (state_.draining)
        response.fields.set("Connection", "close");
    ++state_.metrics.caller_answers;
    co_return response;
}

asio::awaitable<http_response> caller_api::route(http_request request)
{
    std::string const path(transport::path_of(request.target));
    if (path == home_path)
    {
        if (request.method != "GET")
            co_return refuse(result_code::method_not_allowed, "use GET");
        co_return describe_home();
    }
    if (path == jobs_path)
    {
        if (request.method != "POST")
            co_return refuse(result_code::method_not_allowed, "use POST");
        co_return co_await submit_job(std::move(request));
    }
    if (path.starts_with(job_prefix))
    {
        auto id = transport::percent_decode(path.substr(job_prefix.size()));
        co_return co_await handle_job(std::move(request), std::move(id));
    }
    if (path.starts_with(request_prefix))
    {
        if (request.method != "POST")
            co_return refuse(result_code::method_not_allowed, "use POST");
        auto service =
            transport::percent_decode(path.substr(request_prefix.size()));
        co_return co_await submit_request(std::move(request),
                                          std::move(service));
    }
    co_return refuse(result_code::path_not_found, path);
}

asio::awaitable<http_response> caller_api::submit_job(http_request request)
{
    submission_call call;
    call.kind = homes::submission_kind::job;
    call.body = std::move(request.body);
    auto const answered =
        co_await submissions_.submit(std::move(call), call_origin::caller);
    co_return respond(answered);
}

asio::awaitable<http_response> caller_api::submit_request(http_request request,
                                                          std::string service)
{
    submission_call call;
    call.kind = homes::submission_kind::request;
    call.id = request.fields["Masticshift-Id"];
    call.service = std::move(service);
    call.idempotent = request.fields["Masticshift-Idempotent"] == "true";
    auto const timeout = request.fields["Masticshift-Timeout-Ms"];
    if (!timeout.empty())
    {
        auto const parsed = parse_milliseconds(timeout, max_timeout);
        if (!parsed)
            co_return refuse(
                result_code::malformed_request,
                "Masticshift-Timeout-Ms is not a number within its range");
        call.timeout = *parsed;
    }
    call.body = std::move(request.body);
    auto const answered =
        co_await submissions_.submit(std::move(call), call_origin::caller);
    co_return respond(answered);
}

asio::awaitable<http_response> caller_api::handle_job(http_request request,
                                                      std::string id)
{
    if (request.method == "DELETE")
    {
        auto const answered =
            co_await submissions_.cancel(std::move(id), call_origin::caller);
        co_return respond(answered);
    }
    if (request.method != "GET")
        co_return refuse(result_code::method_not_allowed, "use GET or DELETE");
    auto const requested =
        transport::query_parameter(request.target, "wait_ms");
    auto const wait = requested.empty()
                          ? default_wait
                          : parse_milliseconds(requested, max_wait);
    if (!wait)
        co_return refuse(result_code::malformed_request,
                         "wait_ms is not a number within its range");
    auto const answered =
        co_await submissions_.fetch(std::move(id), *wait, call_origin::caller);
    co_return respond(answered);
}

http_response caller_api::describe_home() const
{
    boost::json::object body;
    body["home"] = homes::to_string(state_.table.current_token());
    body["data_centre"] = state_.settings.entry.data_centre;
    body["ready"] = state_.ready();
    http_response response;
    response.fields.set("Content-Type", json_type);
    response.fields.set("Masticshift-Home",
                        homes::to_string(state_.table.current_token()));
    response.body = boost::json::serialize(body);
    return response;
}

http_response caller_api::respond(call_answer const& call) const
{
    auto const& answer = *call.answer;
    http_response response;
    response.status = answer.http_status;
    response.fields.set("Content-Type", answer.content_type);
    if (!call.id.empty())
        response.fields.set("Masticshift-Id", call.id);
    response.fields.set("Masticshift-Code",
                        std::to_string(static_cast<int>(answer.code)));
    response.fields.set("Masticshift-Ran", name_of(answer.ran));
    response.fields.set("Masticshift-Home",
                        homes::to_string(state_.table.current_token()));
    response.body = answer.body;
    return response;
}

http_response caller_api::refuse(result_code code,
                                 std::string_view detail) const
{
    auto const answer = make_error_answer({}, code, ran_state::unknown, detail);
    return respond({{}, answer});
}

http_response caller_api::answer_error(failure const& error) const
{
    return refuse(error.code, error.detail);
}

} // namespace masticshift::daemon
