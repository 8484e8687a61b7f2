#ifndef MASTICSHIFT_DAEMON_OPERATOR_API_HPP
#define MASTICSHIFT_DAEMON_OPERATOR_API_HPP

#include "entry_state.hpp"
#include "job_runner.hpp"

#include <daemon/supervisor.hpp>
#include <peer_link/peer_client.hpp>
#include <peer_link/peer_server.hpp>
#include <transport/http_message.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <functional>
#include <optional>

namespace masticshift::daemon
{

/// The HTTP interface for operators and for the load balancer's health checks.
class operator_api
{
public:
    struct sources
    {
        entry_state& state;
        job_runner const& runner;
        supervisor const& root;
        peer_link::peer_client const& peer_client;
        peer_link::peer_server const& peer_server;
        std::function<boost::json::value()> peers;
        /// Starts a graceful stop.
        std::function<void()> drain;
    };

    explicit operator_api(sources dependencies);

    boost::asio::awaitable<std::optional<transport::http_response>>
    handle(transport::http_request request);

    /// The response to a request that the server rejects before it has read it.
    static transport::http_response answer_error(failure const& error);

private:
    transport::http_response route(transport::http_request const& request);
    transport::http_response status() const;
    transport::http_response metrics() const;

    sources sources_;
};

} // namespace masticshift::daemon

#endif
