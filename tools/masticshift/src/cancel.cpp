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
    // The cancelled job is what was asked for.
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

/// A cancellation may be repeated, so that any entry may be asked next.
pending_report run_cancel(session& calls, options const& given)
{
    failure last_error;
    for (auto const& address : given.entries)
    {
        auto const name = config::to_string(address);
        transport::http_request request;
        request.method = "DELETE";
        request.target =
            "/v1/jobs/" + transport::percent_encode(given.arguments[1]);
        auto const response =
            co_await calls.call(address, request, cancel_timeout);
        if (!response)
        {
            last_error = call_failed(name, response.error());
            continue;
        }
        if (auto const answer = parse_entry_answer(*response))
            co_return report_of_answer(*answer);
        last_error = {result_code::io_error,
                      name + ": answered " + std::to_string(response->status)};
    }
    co_return report_of(last_error);
}

} // namespace masticshift::cli
