#ifndef MASTICSHIFT_DAEMON_CALLER_API_HPP
#define MASTICSHIFT_DAEMON_CALLER_API_HPP

#include "submission_service.hpp"

#include <transport/http_message.hpp>

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace masticshift::daemon
{

/// The HTTP interface for callers, see docs/API.md.
class caller_api
{
public:
    caller_api(entry_state& state, submission_service& submissions);

    boost::asio::awaitable<std::optional<transport::http_response>>
    handle(transport::http_request request);

    /// The response to a request that the server rejects before it has read it.
    transport::http_response answer_error(failure const& error) const;

private:
    boost::asio::awaitable<transport::http_response>
    route(transport::http_request request);
    boost::asio::awaitable<transport::http_response>
    handle_job(transport::http_request request, std::string id);
    boost::asio::awaitable<transport::http_response>
    submit_job(transport::http_request request);
    boost::asio::awaitable<transport::http_response>
    submit_request(transport::http_request request, std::string service);
    transport::http_response describe_home() const;
    transport::http_response respond(call_answer const& call) const;
    transport::http_response refuse(result_code code,
                                    std::string_view detail) const;

    entry_state& state_;
    submission_service& submissions_;
};

} // namespace masticshift::daemon

#endif
