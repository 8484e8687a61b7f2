#ifndef MASTICSHIFT_DAEMON_ENDPOINT_PROTOCOL_HPP
#define MASTICSHIFT_DAEMON_ENDPOINT_PROTOCOL_HPP

#include <placement/task.hpp>
#include <transport/http_client.hpp>
#include <transport/http_message.hpp>

#include <core/time.hpp>

#include <string>
#include <string_view>
#include <vector>

// The HTTP protocol of endpoints (docs/PLATFORM.md) as pure functions.

namespace masticshift::daemon
{

/// `ID/INDEX/ATTEMPT`.
std::string make_task_label(std::string_view id, std::size_t index,
                            unsigned attempt);

transport::http_request make_task_request(std::string_view service,
                                          std::string_view label,
                                          std::string body, duration time_left);

transport::http_request
make_cancel_request(std::vector<std::string> const& labels);

/// Makes a query for the result of a task.
transport::http_request make_result_request(std::string_view label);

/// How a call to an endpoint ended.
struct task_reply
{
    placement::task_result result = placement::task_result::lost;
    /// Set if `result` is `failed`, `lost` or `cancelled`.
    result_code code = result_code::ok;
    std::string detail;
    std::string output;
    std::string content_type;
};

/// Whether a response names the task with this label.
bool names_task(transport::http_response const& response,
                std::string_view label);

/// Reads the result of a call that sent a task to an endpoint.
task_reply read_task_reply(transport::call_result result,
                           std::string_view label);

enum class recovery_state
{
    /// `reply` is the result of the task.
    ended,
    running,
    /// The endpoint gave no usable response about the task.
    unknown
};

struct recovery_reply
{
    recovery_state state = recovery_state::unknown;
    task_reply reply;
};

/// Reads the result of a call that queries the outcome of a task.
recovery_reply read_recovery_reply(transport::call_result result,
                                   std::string_view label);

} // namespace masticshift::daemon

#endif
