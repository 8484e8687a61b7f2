#ifndef MASTICSHIFT_PEER_LINK_PEER_CLIENT_HPP
#define MASTICSHIFT_PEER_LINK_PEER_CLIENT_HPP

#include <config/daemon_settings.hpp>
#include <core/outcome.hpp>
#include <core/time.hpp>
#include <peer_link/frame_codec.hpp>
#include <peer_link/traffic.hpp>
#include <peer_link/wire.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>

namespace masticshift::peer_link
{

struct peer_client_limits
{
    frame_limits frames;
    milliseconds connect{500};
    /// A connection with calls in flight that receives nothing for this long
    /// is closed, and these calls fail. After half of this time the client
    /// sends a probe, which the peer's server acknowledges itself, so that a
    /// slow handler does not break the connection.
    milliseconds receive_timeout{2'000};
    /// A connection without calls for this long is closed. Shorter than the
    /// server's idle timeout, so that no call is sent on a connection that the
    /// server is closing.
    milliseconds idle{30'000};
    /// The connection fails when sent bytes stay unacknowledged for this long
    /// (TCP_USER_TIMEOUT).
    milliseconds unacknowledged{2'000};
    /// Back-off after the first failed connect. It doubles with each further
    /// failure up to `longest_backoff`. The actual pause is drawn at random
    /// between half of the back-off and all of it.
    milliseconds first_backoff{50};
    milliseconds longest_backoff{2'000};
    /// Maximum number of calls in flight on one connection. Further calls fail
    /// with `overloaded`.
    unsigned max_calls_per_connection = 4'096;
    /// Maximum number of bytes that wait to be sent on one connection. Calls
    /// that would exceed it fail with `overloaded`.
    std::size_t max_queued_bytes = 64 << 20;
};

/// A failed call.
struct peer_failure
{
    /// False: the peer's handler has not received the call and never will.
    /// True: it may have received it.
    bool sent = false;
    /// `peer_unreachable`: connecting failed, the peer is in back-off, or the
    /// connection was lost. `deadline_passed`: no response before the
    /// deadline. `overloaded`: a limit of this client or of the peer's server
    /// is reached. `peer_protocol`: the response is malformed, or the call
    /// exceeds the frame limits. `cancelled`: the calling coroutine was
    /// cancelled.
    failure error;
};

/// Called by `call_result::value()` when there is no value, which is a
/// programming error.
[[noreturn]] void throw_exception_from_error(peer_failure const& error,
                                             boost::source_location const& at);

using call_result = boost::system::result<wire::message, peer_failure>;

/// Calls peers over one persistent connection per peer, on which calls are
/// multiplexed.
///
/// When a call times out and nothing was received since it was queued, its
/// connection takes no further calls: the next call opens a new connection, and
/// the old one is closed when its last call has ended. After a failed connect,
/// or a connection that ended before the peer sent anything, all calls to the
/// peer fail immediately until its back-off has passed.
///
/// All members are called on the executor's thread.
class peer_client
{
public:
    /// `seed` initialises the random jitter of the back-off.
    peer_client(boost::asio::any_io_executor executor,
                peer_client_limits limits, std::uint64_t seed);

    /// Calls `stop`.
    ~peer_client();

    peer_client(peer_client const&) = delete;
    peer_client& operator=(peer_client const&) = delete;

    /// Sends one call and waits for its response until `deadline`. The call is
    /// sent at most once.
    boost::asio::awaitable<call_result> call(config::socket_address peer,
                                             wire::message content,
                                             time_point deadline);

    /// Closes the connections to a peer that is no longer known and forgets
    /// its back-off. Calls in flight fail.
    void forget(config::socket_address const& peer);

    /// Closes all connections. Calls in flight and all later calls fail.
    void stop();

    std::size_t connections() const;

    peer_link::traffic const& traffic() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace masticshift::peer_link

#endif
