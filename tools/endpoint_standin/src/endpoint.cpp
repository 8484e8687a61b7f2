#include "endpoint.hpp"

#include <history/codec.hpp>

#include <boost/asio.hpp>
#include <boost/json.hpp>

namespace masticshift::endpoint_standin
{

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
using transport::http_request;
using transport::http_response;

constexpr std::string_view tasks_path = "/v1/tasks/";
constexpr std::string_view task_header = "Masticshift-Task";
constexpr std::string_view not_run_header = "Masticshift-Not-Run";
constexpr std::string_view json_type = "application/json";
constexpr std::string_view bytes_type = "application/octet-stream";
/// How long a task or a response hangs: longer than any test waits.
constexpr std::chrono::hours hang_time{24};

http_response text_response(unsigned status, std::string_view body)
{
    http_response response;
    response.status = status;
    response.fields.set("Content-Type", "text/plain");
    response.body = body;
    return response;
}

http_response not_run_response(unsigned status, std::string_view task)
{
    auto response = text_response(status, "not run");
    response.fields.set(not_run_header, "true");
    response.fields.set(task_header, task);
    return response;
}

http_response result_response(std::string_view task, task_result const& result)
{
    http_response response;
    response.status = result.status;
    response.fields.set("Content-Type", result.content_type);
    response.fields.set(task_header, task);
    response.body = result.body;
    return response;
}

/// The run time in the input's field `run_ms`, if any.
std::optional<milliseconds> named_run_time(json::value const& input)
{
    auto const* const object = input.if_object();
    auto const* const field = object ? object->if_contains("run_ms") : nullptr;
    if (!field || !field->is_number())
        return std::nullopt;
    auto const length = std::max(0.0, field->to_number<double>());
    return milliseconds(static_cast<std::int64_t>(length));
}

} // namespace

/// A call that runs one attempt.
struct endpoint::task_call
{
    history::attempt_name name;
    std::string task;
    std::string service;
    std::string input;
    /// Empty if the input is not JSON.
    std::optional<json::value> parsed;
};

endpoint::endpoint(asio::any_io_executor executor, endpoint_options options)
    : executor_(std::move(executor)), options_(std::move(options))
{
    control_.speed = options_.speed;
}

void endpoint::set_identity(std::string name, std::string address)
{
    options_.name = std::move(name);
    options_.address = std::move(address);
}

asio::awaitable<endpoint::maybe_response> endpoint::handle(http_request request)
{
    auto const path = transport::path_of(request.target);
    bool const is_post = request.method == "POST";
    if (is_post && path.starts_with(tasks_path))
        co_return co_await run(std::move(request));
    if (is_post && path == "/v1/cancellations")
        co_return cancel(request.body);
    if (is_post && path == "/control")
        co_return control(request.body);
    if (request.method == "GET" && path == "/v1/answers")
        co_return look_up_result(request.target);
    co_return text_response(404, "unknown path");
}

asio::awaitable<endpoint::maybe_response> endpoint::run(http_request request)
{
    task_call call;
    call.task = request.fields[task_header];
    call.service = transport::percent_decode(
        transport::path_of(request.target).substr(tasks_path.size()));
    call.input = std::move(request.body);
    auto name = history::parse_attempt_name(call.task);
    if (!name)
        co_return text_response(400, "bad task name");
    call.name = *std::move(name);
    if (!admits(call.task))
    {
        record(history::run_refused{call.name});
        tasks_.refuse(call.task);
        co_return not_run_response(503, call.task);
    }
    json::error_code error;
    auto parsed = json::parse(call.input, error);
    if (!error)
        call.parsed = std::move(parsed);
    record(history::run_started{call.name, call.service});
    co_return co_await run_and_respond(call, control_.hang);
}

bool endpoint::admits(std::string const& task) const
{
    if (control_.refuse || tasks_.is_refused(task))
        return false;
    return control_.hang || tasks_.running() < options_.slots;
}

asio::awaitable<endpoint::maybe_response>
endpoint::run_and_respond(task_call const& call, bool hang)
{
    bool const ran_to_end =
        co_await wait(call, hang ? duration(hang_time) : run_time_of(call));
    auto const result = result_of(call, ran_to_end);
    tasks_.end(call.task, result);
    record(history::run_ended{call.name});
    if (hang)
        co_await withhold_response();
    co_return co_await send(call, result);
}

asio::awaitable<bool> endpoint::wait(task_call const& call, duration time)
{
    auto timer = std::make_shared<asio::steady_timer>(executor_, time);
    // A separate flag, as cancelling a timer that has already expired does not
    // report an error to its waiter.
    auto stopped = std::make_shared<bool>(false);
    tasks_.start(call.task,
                 [timer, stopped]
                 {
                     *stopped = true;
                     timer->cancel();
                 });
    boost::system::error_code error;
    co_await timer->async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    co_return !*stopped;
}

asio::awaitable<void> endpoint::withhold_response()
{
    asio::steady_timer timer(executor_, hang_time);
    co_await timer.async_wait(asio::use_awaitable);
}

duration endpoint::run_time_of(task_call const& call)
{
    ++runs_;
    if (control_.fail)
        return duration::zero();
    auto const named =
        call.parsed ? named_run_time(*call.parsed) : std::nullopt;
    auto const declared =
        std::chrono::duration<double>(named.value_or(options_.run_time));
    auto time = std::chrono::duration_cast<duration>(declared / control_.speed);
    bool const straggles =
        control_.straggle_every > 0 && runs_ % control_.straggle_every == 0;
    return straggles ? time + control_.straggle : time;
}

task_result endpoint::result_of(task_call const& call, bool ran_to_end) const
{
    if (!ran_to_end)
        return {500, "cancelled", "text/plain"};
    if (control_.fail)
        return {500, "failed as set by /control", "text/plain"};
    if (!call.parsed)
        return {200, call.input, std::string(bytes_type)};
    return {200,
            R"({"echo":)" + call.input + R"(,"endpoint":)" +
                json::serialize(json::value(options_.name)) + "}",
            std::string(json_type)};
}

asio::awaitable<endpoint::maybe_response>
endpoint::send(task_call const& call, task_result const& result)
{
    if (consume_one(control_.silent_after_write))
        co_await withhold_response();
    if (consume_one(control_.close_after_write))
        co_return std::nullopt;
    auto const other_task = std::exchange(last_task_, call.task);
    auto const other_result = std::exchange(last_result_, result);
    if (consume_one(control_.cross_answers))
        co_return result_response(other_task, other_result);
    co_return result_response(call.task, result);
}

http_response endpoint::look_up_result(std::string_view target)
{
    auto const task = transport::query_parameter(target, "task");
    auto const name = history::parse_attempt_name(task);
    if (!name)
        return text_response(400, "bad task name");
    if (auto const* const result = tasks_.result_of(task))
        return result_response(task, *result);
    if (tasks_.is_running(task))
        return text_response(202, "running");
    record(history::run_refused{*name});
    tasks_.refuse(task);
    return not_run_response(404, task);
}

http_response endpoint::cancel(std::string_view body)
{
    json::error_code error;
    auto const value = json::parse(body, error);
    auto const* const object = error ? nullptr : value.if_object();
    auto const* const list = object ? object->if_contains("tasks") : nullptr;
    if (!list || !list->is_array())
        return text_response(400, "the body has no list of tasks");
    for (auto const& task : list->get_array())
    {
        if (task.is_string())
            tasks_.cancel(std::string(task.get_string()));
    }
    return text_response(200, "");
}

http_response endpoint::control(std::string_view body)
{
    auto const changed = change(control_, body);
    if (!changed)
        return text_response(400, changed.error().detail);
    control_ = *changed;
    return text_response(200, "");
}

void endpoint::record(history::event const& content) const
{
    history::write_as(options_.address, content);
}

} // namespace masticshift::endpoint_standin
