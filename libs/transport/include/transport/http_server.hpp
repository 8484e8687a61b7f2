#ifndef MASTICSHIFT_TRANSPORT_HTTP_SERVER_HPP
#define MASTICSHIFT_TRANSPORT_HTTP_SERVER_HPP

#include <core/outcome.hpp>
#include <core/time.hpp>
#include <transport/http_message.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace masticshift::transport
{

struct http_server_limits
{
    std::size_t max_body_bytes = 8 << 20;
    std::size_t max_header_bytes = 16 << 10;
    unsigned max_connections = 4'096;
    /// A request must arrive completely within this time after its first byte.
    milliseconds request_read{5'000};
    /// A connection without a request is closed after this time.
    milliseconds idle{60'000};
    /// Writing a response to the socket must complete within this time.
    milliseconds write{10'000};
};

/// Handles one request. If a handler returns no response, the server closes the
/// connection without responding.
using http_handler =
    std::function<boost::asio::awaitable<std::optional<http_response>>(
        http_request request)>;

/// Makes the response to a request that the server itself refuses (too large,
/// malformed, too slow, or above the connection limit), or whose handler
/// failed.
using error_response_factory = std::function<http_response(failure const&)>;

/// An HTTP/1.1 server on one address, with persistent connections.
///
/// All members are called on the executor's thread. The server must outlive
/// its executor's last handler or be stopped before.
class http_server
{
public:
    http_server(boost::asio::any_io_executor executor,
                http_server_limits limits, http_handler handler,
                error_response_factory make_error_response);
    ~http_server();

    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    /// Binds and starts accepting. Port 0 picks a free port. Fails with
    /// `bind_failed`.
    outcome<void> listen(std::string const& ip, std::uint16_t port);

    std::uint16_t port() const;
    unsigned connections() const;

    /// Stops accepting. Requests that are being received or handled are still
    /// answered, with `Connection: close`; idle connections are closed.
    void close_gracefully();

    /// Closes the listening socket and all connections immediately.
    void stop();

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace masticshift::transport

#endif
