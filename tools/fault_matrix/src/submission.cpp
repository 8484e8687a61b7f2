#include "submission.hpp"

#include <history/digest.hpp>

#include <boost/json.hpp>

#include <charconv>

namespace masticshift::fault_matrix
{

namespace json = boost::json;

namespace
{

transport::http_request to_job(submission const& submitted)
{
    json::array tasks;
    for (auto const& input : submitted.inputs)
        tasks.push_back(json::object{{"input", json::parse(input)}});
    json::object body;
    body["id"] = submitted.id;
    body["service"] = submitted.service;
    body["timeout_ms"] = submitted.timeout_ms;
    body["tasks"] = std::move(tasks);
    return {"POST", "/v1/jobs", {}, json::serialize(body)};
}

result_code code_in(transport::http_response const& answer)
{
    auto const text = answer.fields["Masticshift-Code"];
    int number = static_cast<int>(result_code::internal);
    std::from_chars(text.data(), text.data() + text.size(), number);
    return result_code_of(number).value_or(result_code::internal);
}

std::vector<history::task_answer> answers_in_job(json::value const& body)
{
    std::vector<history::task_answer> answers;
    auto const* const object = body.if_object();
    auto const* const tasks = object ? object->if_contains("tasks") : nullptr;
    if (!tasks || !tasks->is_array())
        return answers;
    for (auto const& task : tasks->get_array())
    {
        auto const* const row = task.if_object();
        if (!row || !row->contains("task") || !row->contains("output"))
            continue;
        auto const index = row->at("task").to_number<unsigned>();
        answers.push_back(history::answer_of(index, row->at("output")));
    }
    return answers;
}

} // namespace

transport::http_request to_request(submission const& submitted)
{
    if (submitted.kind == history::call_kind::job)
        return to_job(submitted);
    transport::http_request request{"POST",
                                    "/v1/requests/" + submitted.service,
                                    {},
                                    submitted.inputs.front()};
    request.fields.set("Masticshift-Id", submitted.id);
    request.fields.set("Masticshift-Timeout-Ms",
                       std::to_string(submitted.timeout_ms));
    if (submitted.idempotent)
        request.fields.set("Masticshift-Idempotent", "true");
    return request;
}

history::call_sent to_event(submission const& submitted, std::uint64_t call,
                            std::string entry)
{
    history::call_sent sent;
    sent.call = call;
    sent.id = submitted.id;
    sent.entry = std::move(entry);
    sent.service = submitted.service;
    sent.kind = submitted.kind;
    sent.idempotent = submitted.idempotent;
    for (auto const& input : submitted.inputs)
        sent.inputs.push_back(history::digest_of(json::parse(input)));
    return sent;
}

history::call_answered to_event(submission const& submitted, std::uint64_t call,
                                transport::http_response const& answer)
{
    history::call_answered answered;
    answered.call = call;
    answered.id = answer.fields["Masticshift-Id"];
    answered.code = code_in(answer);
    answered.ran = ran_state_of(answer.fields["Masticshift-Ran"])
                       .value_or(ran_state::unknown);
    json::error_code error;
    auto const body = json::parse(answer.body, error);
    if (error)
        return answered;
    if (submitted.kind == history::call_kind::job)
        answered.answers = answers_in_job(body);
    else if (answered.code == result_code::ok)
        answered.answers.push_back(history::answer_of(0, body));
    return answered;
}

} // namespace masticshift::fault_matrix
