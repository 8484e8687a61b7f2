#ifndef MASTICSHIFT_CLI_SESSION_HPP
#define MASTICSHIFT_CLI_SESSION_HPP

#include <config/daemon_settings.hpp>
#include <core/time.hpp>
#include <transport/http_client.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace masticshift::cli
{

/// Makes HTTP calls to entries and to the platform with one shared client.
class session
{
public:
    explicit session(boost::asio::any_io_executor executor);

    boost::asio::awaitable<transport::call_result>
    call(config::socket_address const& address, transport::http_request request,
         milliseconds timeout);

    transport::http_client& client();

private:
    transport::http_client client_;
};

} // namespace masticshift::cli

#endif
