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
    /// A connection with calls in flight on which nothing arrives for this
    /// long is closed, and these calls fail. After half of it the peer's
    /// server is probed, so that a slow handler is no silence.
    milliseconds silence{2'000};
    /// A connection without calls for this long is closed. Shorter than the
    /// server's, so that a call does not meet a connection that just ends.
    milliseconds idle{30'000};
    /// Sent bytes that stay unacknowledged for this long end the connection.
    milliseconds unacknowledged{2'000};
    /// Pause after the first failed connect. It doubles with each further one
    /// up to `longest_backoff`; each pause is drawn from its upper half.
    milliseconds first_backoff{50};
    milliseconds longest_backoff{2'000};
    /// Calls in flight to one peer, at most. More fail with `overloaded`.
    unsigned max_calls_per_peer = 4'096;
    /// Bytes that wait to be sent to one peer, at most. Calls that would
    /// exceed it fail with `overloaded`.
    std::size_t max_queued_bytes = 64 << 20;
};

/// A failed call.
struct peer_failure
{
    /// False: the peer's handler did not get the call and never will.
    /// True: it may have got it.
    bool sent = false;
    /// `peer_unreachable`: no connection, in back-off, or the connection
    /// broke. `deadline_passed`: no answer in time. `overloaded`: a limit of
    /// this client or of the peer's server. `peer_protocol`: an answer that is
    /// malformed or a call that breaks the limits. `cancelled`: the calling
    /// coroutine was cancelled.
    failure error;
};

/// Called by `call_result::value()` when there is no value, a programming
/// error.
[[noreturn]] void throw_exception_from_error(peer_failure const& error,
                                             boost::source_location const& at);

using call_result = boost::system::result<wire::message, peer_failure>;

/// Calls peers over one kept connection for each, on which calls overlap.
///
/// When a call runs out of time and nothing has arrived since it was queued,
/// its connection takes no further calls: the next one opens a fresh
/// connection, and the old one is closed when its last call has ended. While
/// connects fail, calls fail at once until the shared back-off is over.
///
/// All members are called on the executor's thread.
class peer_client
{
public:
    /// `seed` is that of the jitter of the back-off.
    peer_client(boost::asio::any_io_executor executor,
                peer_client_limits limits, std::uint64_t seed);

    /// Stops.
    ~peer_client();

    peer_client(peer_client const&) = delete;
    peer_client& operator=(peer_client const&) = delete;

    /// Sends one call and waits for its answer until `deadline`. The call is
    /// sent once at most.
    boost::asio::awaitable<call_result> call(config::socket_address peer,
                                             wire::message content,
                                             time_point deadline);

    /// Closes the connections to a peer that is no longer known and forgets
    /// its back-off. Calls in flight fail.
    void forget(config::socket_address const& peer);

    /// Closes everything. Calls in flight fail, and so do all later ones.
    void stop();

    std::size_t connections() const;

    peer_link::traffic const& traffic() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace masticshift::peer_link

#endif
