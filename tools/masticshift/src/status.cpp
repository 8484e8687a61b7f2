#include "commands.hpp"
#include "entry_answer.hpp"

#include <boost/json/parse.hpp>

namespace masticshift::cli
{

namespace json = boost::json;

namespace
{

constexpr milliseconds status_timeout{2'000};
constexpr unsigned status_ok = 200;

boost::asio::awaitable<outcome<std::string>>
read_status(session& calls, config::socket_address const& address)
{
    auto const name = config::to_string(address);
    transport::http_request request;
    request.target = "/status";
    auto const answer = co_await calls.call(address, request, status_timeout);
    if (!answer)
        co_return make_call_error(name, answer.error());
    if (answer->status != status_ok)
    {
        co_return failure{result_code::io_error,
                          name + ": /status failed with HTTP status " +
                              std::to_string(answer->status)};
    }
    co_return answer->body;
}

json::value status_value(std::string const& body)
{
    boost::system::error_code error;
    auto parsed = json::parse(body, error);
    return error ? json::value(body) : parsed;
}

} // namespace

/// Continues after an entry that is unreachable, and reports the failures at
/// the end.
pending_report run_status(session& calls, options const& command_line)
{
    report result;
    json::object statuses;
    for (auto const& address : command_line.entries)
    {
        auto const name = config::to_string(address);
        auto const status = co_await read_status(calls, address);
        if (!status)
        {
            result.code = status.error().code;
            result.detail +=
                (result.detail.empty() ? "" : "; ") + status.error().detail;
            continue;
        }
        result.text += name + " " + *status + "\n";
        statuses[name] = status_value(*status);
    }
    result.fields["entries"] = std::move(statuses);
    co_return result;
}

} // namespace masticshift::cli
