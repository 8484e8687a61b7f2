#ifndef MASTICSHIFT_TRANSPORT_HTTP_CLIENT_HPP
#define MASTICSHIFT_TRANSPORT_HTTP_CLIENT_HPP

#include <core/outcome.hpp>
#include <core/time.hpp>
#include <transport/http_message.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace masticshift::transport
{

/// How far a call got before it failed.
enum class call_stage
{
    /// No open connection was known to lead to the required server process, and
    /// none was made.
    unidentified,
    /// No connection could be made.
    not_connected,
    /// Connected, but no byte of the request was handed to the network.
    not_written,
    /// Some or all of the request was handed to the network.
    written
};

std::string_view name_of(call_stage stage);

/// A failed call. With `call_stage::written` the server may have acted on the
/// request; with the other stages it has not. The code is `peer_unreachable` if
/// no process listens at the address.
struct call_failure
{
    call_stage stage = call_stage::not_connected;
    failure error;
};

/// Prints the error and the stage.
std::ostream& operator<<(std::ostream& out, call_failure const& failed);

using call_result = boost::system::result<http_response, call_failure>;

struct http_client_limits
{
    std::size_t max_body_bytes = 8 << 20;
    std::size_t max_header_bytes = 16 << 10;
    milliseconds connect{500};
    /// A pooled connection that was idle for longer is not reused.
    milliseconds idle{1'000};
    /// The connection fails when sent bytes stay unacknowledged for this long
    /// (TCP_USER_TIMEOUT).
    milliseconds unacknowledged{2'000};
    /// Maximum number of open connections to one address. 0: no limit.
    unsigned max_connections = 0;
};

/// Why a new connection was needed, by what became of an earlier one.
enum class connection_cause
{
    /// No connection to the address was open or had been lost.
    first,
    /// All open connections were in use.
    parallel,
    /// The response to a call did not arrive in time.
    unanswered,
    /// The server or the network had closed it.
    closed,
    /// It was closed by `http_client::close_pooled`.
    suspected,
    /// It was not used for too long.
    idle,
    /// The attempt before has failed.
    not_connected
};

constexpr std::size_t connection_causes = 7;

std::string_view name_of(connection_cause cause);

/// How a call uses the connections to its address. By default a call makes a
/// new connection whenever no pooled one can be used.
struct connection_use
{
    /// How long the call waits for a connection that another call uses, before
    /// a new one is made.
    milliseconds wait{0};
    /// While the newest connection has carried no response and no other has,
    /// this call makes no further one for this long: it waits, and fails with
    /// `cancelled` and `call_stage::not_connected`. 0: no limit.
    milliseconds unproven{0};
    /// The same after an attempt that was refused, in place of `unproven`.
    milliseconds refused{0};
    /// How long a connection without a response in time stays open for it. If
    /// the response arrives, it is only passed to `identify_server`, and the
    /// connection is returned to the pool.
    milliseconds late_response{0};
    /// The call holds its connection for long: others do not wait for it.
    bool holds = false;
};

/// Optional conditions of a call: whether the request is sent, over which
/// connections, and whether its connection is reused.
struct call_checks
{
    /// Unless it is 0, only a connection over which this server process was
    /// identified is used. Such a connection ends with its process, so that no
    /// later process at the address can get the request. Without one the call
    /// fails with `cancelled` and `call_stage::unidentified`.
    std::int64_t required_server = 0;
    /// Called with the response, also with one that arrives after the call has
    /// failed (`connection_use::late_response`). Returns a number that
    /// identifies the server process, which is kept with the connection, or 0
    /// if the response does not tell.
    std::function<std::int64_t(http_response const&)> identify_server;
    /// Called immediately before the first byte is written. If it returns
    /// false, nothing is written and the call fails with `cancelled`.
    std::function<bool(time_point now)> may_send;
    /// Called with the response. If it returns false, the connection is closed
    /// instead of being returned to the pool.
    std::function<bool(http_response const&)> may_reuse_connection;
    connection_use connections;
};

/// An HTTP/1.1 client with a pool of connections per address.
///
/// All members are called on the executor's thread.
class http_client
{
public:
    http_client(boost::asio::any_io_executor executor,
                http_client_limits limits);
    ~http_client();

    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    /// Sends one request and waits for its complete response until `deadline`.
    /// Never sends the same request twice. A request whose method, target or
    /// fields can't be sent fails with `malformed_request`.
    boost::asio::awaitable<call_result> call(std::string ip, std::uint16_t port,
                                             http_request request,
                                             time_point deadline,
                                             call_checks checks = {});

    /// Number of open connections to an address, in use or pooled.
    unsigned connections(std::string const& ip, std::uint16_t port) const;

    /// Sets the maximum number of connections to one address, in place of
    /// `http_client_limits::max_connections`. A call that would exceed it fails
    /// with `too_many_connections` and `call_stage::not_connected`.
    void set_max_connections(std::string const& ip, std::uint16_t port,
                             unsigned limit);

    /// Closes the pooled connections to one address that have carried no
    /// response since this time, for example because a call on another
    /// connection to it got no response.
    void close_pooled(std::string const& ip, std::uint16_t port,
                      time_point since);

    /// Sets the function that is called after each attempt to connect.
    void on_connect(
        std::function<void(connection_cause cause, bool connected)> function);

    /// Closes pooled connections that were idle for too long.
    void close_idle(time_point now);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace masticshift::transport

#endif
