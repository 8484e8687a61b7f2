#include "answer.hpp"

#include <boost/json.hpp>

namespace masticshift::daemon
{

namespace
{

namespace json = boost::json;

constexpr unsigned status_accepted = 202;

constexpr unsigned char max_ascii = 0x7f;

bool is_json(std::string_view text)
{
    boost::system::error_code error;
    json::monotonic_resource memory;
    json::parse(text, error, &memory);
    return !error;
}

/// Error answers must be valid JSON, but quote texts from callers, peers and
/// endpoints. If a text is not valid UTF-8, each non-ASCII byte becomes '?'.
std::string to_valid_text(std::string_view text)
{
    std::string valid(text);
    if (is_json(json::serialize(json::string(valid))))
        return valid;
    for (auto& character : valid)
    {
        if (static_cast<unsigned char>(character) > max_ascii)
            character = '?';
    }
    return valid;
}

} // namespace

homes::answer_ptr make_error_answer(std::string_view id, result_code code,
                                    ran_state ran, std::string_view detail)
{
    json::object body;
    body["id"] = to_valid_text(id);
    body["code"] = static_cast<int>(code);
    body["name"] = name_of(code);
    body["ran"] = name_of(ran);
    body["detail"] = to_valid_text(detail);
    homes::kept_answer answer;
    answer.code = code;
    answer.ran = ran;
    answer.http_status = info_of(code).http_status;
    answer.body = json::serialize(body);
    answer.content_type = json_type;
    return std::make_shared<homes::kept_answer const>(std::move(answer));
}

homes::answer_ptr make_job_answer(std::string_view id,
                                  std::vector<std::string> const& outputs)
{
    std::string body = R"({"id":)" + json::serialize(json::string(id)) +
                       R"(,"code":0,"name":"ok","ran":"ran","tasks":[)";
    for (std::size_t task = 0; task < outputs.size(); ++task)
    {
        if (task > 0)
            body += ',';
        body += R"({"task":)" + std::to_string(task) + R"(,"output":)";
        body += outputs[task];
        body += '}';
    }
    body += "]}";
    homes::kept_answer answer;
    answer.code = result_code::ok;
    answer.ran = ran_state::ran;
    answer.http_status = info_of(result_code::ok).http_status;
    answer.body = std::move(body);
    answer.content_type = json_type;
    return std::make_shared<homes::kept_answer const>(std::move(answer));
}

homes::answer_ptr make_request_answer(std::string output,
                                      std::string content_type)
{
    homes::kept_answer answer;
    answer.code = result_code::ok;
    answer.ran = ran_state::ran;
    answer.http_status = info_of(result_code::ok).http_status;
    answer.body = std::move(output);
    answer.content_type = std::move(content_type);
    return std::make_shared<homes::kept_answer const>(std::move(answer));
}

homes::answer_ptr make_running_answer(std::string_view id)
{
    json::object body;
    body["id"] = id;
    body["state"] = "running";
    homes::kept_answer answer;
    answer.ran = ran_state::unknown;
    answer.http_status = status_accepted;
    answer.body = json::serialize(body);
    answer.content_type = json_type;
    return std::make_shared<homes::kept_answer const>(std::move(answer));
}

std::string to_json_value(std::string output)
{
    if (is_json(output))
        return output;
    return json::serialize(json::string(output));
}

} // namespace masticshift::daemon
