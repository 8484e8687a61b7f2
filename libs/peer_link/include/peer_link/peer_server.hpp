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
    /// Calls of one connection that are handled at the same time, at most.
    /// More are refused with `overloaded`.
    unsigned max_calls_per_connection = 1'024;
    /// Bytes of such calls, and of answers that wait to be sent.
    std::size_t max_bytes_per_connection = 64 << 20;
    /// A frame has to arrive whole within this time after its length.
    milliseconds frame_read{5'000};
    /// A connection without a frame for this time is closed.
    milliseconds idle{60'000};
    /// An answer has to be taken by the peer within this time.
    milliseconds write{5'000};
    /// Sent bytes that stay unacknowledged for this long end the connection.
    milliseconds unacknowledged{2'000};
};

/// Answers one call with the kind that `answer_kind_of` names. A handler that
/// throws or answers without a member set closes the connection.
using peer_handler =
    std::function<boost::asio::awaitable<wire::message>(wire::message call)>;

/// Serves the calls of peers on one address. The calls of a connection are
/// handled concurrently and answered in the order in which they end.
///
/// All members are called on the executor's thread.
class peer_server
{
public:
    peer_server(boost::asio::any_io_executor const& executor,
                peer_server_limits limits, peer_handler handler);

    /// Stops.
    ~peer_server();

    peer_server(peer_server const&) = delete;
    peer_server& operator=(peer_server const&) = delete;

    /// Binds and starts to accept. Port 0 takes a free one. Fails with
    /// `bind_failed`.
    outcome<void> listen(std::string const& ip, std::uint16_t port);

    std::uint16_t port() const;
    std::size_t connections() const;

    /// Calls whose handlers have not ended or whose answers are not written.
    std::size_t calls() const;

    /// Stops accepting connections. Open ones are served on.
    void stop_accepting();

    /// Closes everything at once. Handlers that run are not stopped; their
    /// answers are dropped.
    void stop();

    peer_link::traffic const& traffic() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace masticshift::peer_link

#endif
