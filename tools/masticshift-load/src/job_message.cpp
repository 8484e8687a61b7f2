#include "job_message.hpp"

#include <history/digest.hpp>

#include <boost/json.hpp>

#include <charconv>

namespace masticshift::load
{

namespace
{

namespace json = boost::json;
using transport::http_request;
using transport::http_response;

http_request make_job(scenario const& plan, planned_job const& job,
                      std::string const& id)
{
    json::array tasks;
    for (auto const& task : job.tasks)
    {
        json::object row{{"input", task.input}};
        if (task.declared_size > 0)
            row["size"] = task.declared_size;
        tasks.push_back(std::move(row));
    }
    json::object const body{{"id", id},
                            {"service", plan.service},
                            {"timeout_ms", plan.timeout.count()},
                            {"tasks", std::move(tasks)}};
    http_request request;
    request.method = "POST";
    request.target = "/v1/jobs";
    request.fields.set("Content-Type", "application/json");
    request.body = json::serialize(body);
    return request;
}

http_request make_request(scenario const& plan, planned_job const& job,
                          std::string const& id)
{
    http_request request;
    request.method = "POST";
    request.target = "/v1/requests/" + transport::percent_encode(plan.service);
    request.fields.set("Content-Type", "application/json");
    request.fields.set("Masticshift-Id", id);
    request.fields.set("Masticshift-Timeout-Ms",
                       std::to_string(plan.timeout.count()));
    if (plan.idempotent)
        request.fields.set("Masticshift-Idempotent", "true");
    request.body = json::serialize(job.tasks.front().input);
    return request;
}

std::string text_of(json::object const& object, std::string_view key)
{
    auto const* const value = object.if_contains(key);
    auto const* const text = value ? value->if_string() : nullptr;
    return text ? std::string(*text) : std::string();
}

/// Parses one element of `tasks` in the answer of a job and adds it to
/// `answers`. False: it is malformed.
bool read_task(json::value const& row, bool with_digests,
               std::vector<history::task_answer>& answers)
{
    auto const* const object = row.if_object();
    auto const* const number = object ? object->if_contains("task") : nullptr;
    auto const* const output = object ? object->if_contains("output") : nullptr;
    if (!number || !number->is_number() || !output)
        return false;
    json::error_code error;
    auto const task = number->to_number<unsigned>(error);
    answers.push_back(with_digests ? history::answer_of(task, *output)
                                   : history::task_answer{task, {}, {}});
    return !error;
}

parsed_answer read_job_answer(http_response const& response, bool with_digests)
{
    parsed_answer read;
    json::error_code error;
    auto const body = json::parse(response.body, error);
    auto const* const object = error ? nullptr : body.if_object();
    auto const* const number = object ? object->if_contains("code") : nullptr;
    if (!number || !number->is_int64())
        return read;
    auto const code = result_code_of(static_cast<int>(number->get_int64()));
    auto const ran = ran_state_of(text_of(*object, "ran"));
    if (!code || !ran)
        return read;
    read.content = {0, text_of(*object, "id"), *code, *ran, {}};
    auto const* const tasks = object->if_contains("tasks");
    if (tasks && tasks->is_array())
    {
        for (auto const& row : tasks->get_array())
        {
            if (!read_task(row, with_digests, read.content.answers))
                return read;
        }
    }
    read.end = call_end::answered;
    return read;
}

parsed_answer read_request_answer(http_response const& response,
                                  bool with_digests)
{
    parsed_answer read;
    auto const text = response.fields["Masticshift-Code"];
    int number = 0;
    auto const parsed =
        std::from_chars(text.data(), text.data() + text.size(), number);
    auto const code = result_code_of(number);
    auto const ran = ran_state_of(response.fields["Masticshift-Ran"]);
    if (text.empty() || parsed.ec != std::errc{} || !code || !ran)
        return read;
    read.end = call_end::answered;
    read.content = {
        0, std::string(response.fields["Masticshift-Id"]), *code, *ran, {}};
    if (*code != result_code::ok)
        return read;
    json::error_code error;
    auto const output =
        with_digests ? json::parse(response.body, error) : json::value();
    if (error)
        read.end = call_end::bad_answer;
    read.content.answers.push_back(with_digests
                                       ? history::answer_of(0, output)
                                       : history::task_answer{0, {}, {}});
    return read;
}

} // namespace

http_request make_submission(scenario const& plan, planned_job const& job,
                             std::string const& id)
{
    return plan.kind == history::call_kind::job ? make_job(plan, job, id)
                                                : make_request(plan, job, id);
}

parsed_answer read_submission_answer(scenario const& plan,
                                     http_response const& response,
                                     bool with_digests)
{
    auto read = plan.kind == history::call_kind::job
                    ? read_job_answer(response, with_digests)
                    : read_request_answer(response, with_digests);
    bool const is_complete = read.content.code != result_code::ok ||
                             read.content.answers.size() == plan.tasks_per_job;
    if (!is_complete)
        read.end = call_end::bad_answer;
    return read;
}

} // namespace masticshift::load
