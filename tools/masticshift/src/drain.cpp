#include "commands.hpp"
#include "entry_answer.hpp"

namespace masticshift::cli
{

namespace
{

constexpr milliseconds drain_timeout{5'000};
constexpr unsigned first_error_status = 300;

} // namespace

pending_report run_drain(session& calls, options const& command_line)
{
    if (command_line.entries.size() != 1)
    {
        co_return report_of(failure{
            result_code::usage, "drain takes exactly one address in --entry"});
    }
    auto const name = config::to_string(command_line.entries.front());
    transport::http_request request;
    request.method = "POST";
    request.target = "/drain";
    auto const answer = co_await calls.call(command_line.entries.front(),
                                            request, drain_timeout);
    if (!answer)
        co_return report_of(make_call_error(name, answer.error()));
    if (answer->status >= first_error_status)
    {
        co_return report_of(failure{result_code::io_error,
                                    name + ": /drain failed with HTTP status " +
                                        std::to_string(answer->status)});
    }
    report result;
    result.text = name + " is draining\n";
    result.fields["entry"] = name;
    co_return result;
}

} // namespace masticshift::cli
