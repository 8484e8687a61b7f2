#ifndef MASTICSHIFT_PEER_LINK_PEER_SERVER_HPP
#define MASTICSHIFT_PEER_LINK_PEER_SERVER_HPP

#include <core/outcome.hpp>
#include <core/time.hpp>
#include <peer_link/frame_codec.hpp>
#include <peer_link/traffic.hpp>
#include <peer_link/wire.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace masticshift::peer_link
{

struct peer_server_limits
{
    frame_limits frames;
    unsigned max_connections = 1'024;
    /// Maximum number of calls of one connection that are being handled or
    /// whose responses are not written yet. Further calls are refused with
    /// `overloaded`.
    unsigned max_calls_per_connection = 1'024;
    /// Maximum size of the calls of one connection that are being handled;
    /// above it, calls are refused with `overloaded`. Also the maximum size of
    /// its responses that wait to be sent; above it, the connection is closed.
    std::size_t max_bytes_per_connection = 64 << 20;
    /// A frame must arrive completely within this time after its length.
    milliseconds frame_read{5'000};
    /// A connection without calls that receives nothing for this long is
    /// closed.
    milliseconds idle{60'000};
    /// Writing responses to the socket must complete within this time.
    milliseconds write{5'000};
    /// The connection fails when sent bytes stay unacknowledged for this long
    /// (TCP_USER_TIMEOUT).
    milliseconds unacknowledged{2'000};
};

/// Responds to one call with the kind of message that `answer_kind_of` gives.
/// If a handler throws or returns a message without a member set, the server
/// closes the connection.
using peer_handler =
    std::function<boost::asio::awaitable<wire::message>(wire::message call)>;

/// Serves the calls of peers on one address. The calls of a connection are
/// handled concurrently; each response is sent as soon as its handler ends.
///
/// All members are called on the executor's thread.
class peer_server
{
public:
    peer_server(boost::asio::any_io_executor const& executor,
                peer_server_limits limits, peer_handler handler);

    /// Calls `stop`.
    ~peer_server();

    peer_server(peer_server const&) = delete;
    peer_server& operator=(peer_server const&) = delete;

    /// Binds and starts accepting. Port 0 picks a free port. Fails with
    /// `bind_failed`.
    outcome<void> listen(std::string const& ip, std::uint16_t port);

    std::uint16_t port() const;
    std::size_t connections() const;

    /// Calls whose handlers have not ended or whose responses are not written
    /// yet.
    std::size_t calls() const;

    /// Stops accepting connections. Open connections stay in service.
    void stop_accepting();

    /// Closes the listening socket and all connections. Running handlers are
    /// not stopped; their responses are dropped.
    void stop();

    peer_link::traffic const& traffic() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace masticshift::peer_link

#endif
