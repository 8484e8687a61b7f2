#ifndef MASTICSHIFT_DAEMON_ANSWER_HPP
#define MASTICSHIFT_DAEMON_ANSWER_HPP

#include <homes/kept_answer.hpp>

#include <core/result_code.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace masticshift::daemon
{

constexpr std::string_view json_type = "application/json";

/// An error answer in the format of docs/API.md.
homes::answer_ptr make_error_answer(std::string_view id, result_code code,
                                    ran_state ran, std::string_view detail);

/// The answer to a job whose tasks have all succeeded.
homes::answer_ptr make_job_answer(std::string_view id,
                                  std::vector<std::string> const& outputs);

/// The answer to a request whose task has succeeded.
homes::answer_ptr make_request_answer(std::string output,
                                      std::string content_type);

/// The answer to a fetch of a job that is still running.
homes::answer_ptr make_running_answer(std::string_view id);

/// The output of a task as a JSON value: unchanged if it is valid JSON, else
/// as a JSON string.
std::string to_json_value(std::string output);

/// Whether a number received from a peer is a valid HTTP status of an answer.
constexpr bool is_http_status(int number)
{
    constexpr int lowest = 200;
    constexpr int highest = 599;
    return number >= lowest && number <= highest;
}

} // namespace masticshift::daemon

#endif
