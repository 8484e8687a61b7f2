#include "commands.hpp"
#include "entry_answer.hpp"

#include <optional>

namespace masticshift::cli
{

namespace
{

constexpr milliseconds cancel_timeout{15'000};

report report_of_answer(entry_answer const& answer)
{
    report result;
    // `cancelled` means that this command did what was requested.
    result.code =
        answer.code == result_code::cancelled ? result_code::ok : answer.code;
    result.detail = answer.detail;
    result.text =
        answer.code == result_code::ok
            ? "the job had already been answered\n"
            : "the job ended as " + std::string(name_of(answer.code)) + "\n";
    result.fields["answer"] = answer.body;
    return result;
}

} // namespace

/// Cancellation is idempotent, so the next entry is tried after a failed call.
pending_report run_cancel(session& calls, options const& command_line)
{
    failure last_error;
    for (auto const& address : command_line.entries)
    {
        auto const name = config::to_string(address);
        transport::http_request request;
        request.method = "DELETE";
        request.target =
            "/v1/jobs/" + transport::percent_encode(command_line.arguments[1]);
        auto const response =
            co_await calls.call(address, request, cancel_timeout);
        if (!response)
        {
            last_error = make_call_error(name, response.error());
            continue;
        }
        if (auto const answer = parse_entry_answer(*response))
            co_return report_of_answer(*answer);
        last_error = {result_code::io_error,
                      name + ": unexpected response with HTTP status " +
                          std::to_string(response->status)};
    }
    co_return report_of(last_error);
}

} // namespace masticshift::cli
