#ifndef MASTICSHIFT_PEER_LINK_PEER_CONNECTION_HPP
#define MASTICSHIFT_PEER_LINK_PEER_CONNECTION_HPP

#include "frame_stream.hpp"
#include "reconnect_backoff.hpp"

#include <peer_link/peer_client.hpp>

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>
#include <utility>

namespace masticshift::peer_link
{

/// State shared by all connections of one client.
struct client_context
{
    peer_client_limits limits;
    std::mt19937_64 generator;
    peer_link::traffic traffic;
    std::int64_t last_correlation = 0;
};

/// A call that waits for its response.
struct pending_call
{
    pending_call(boost::asio::any_io_executor const& executor,
                 time_point deadline, message_kind expected)
        : timer(executor, deadline - steady_clock::now()),
          expected_kind(expected)
    {
    }

    /// Sets the result and ends the wait. Only the first result counts.
    void finish(call_result outcome)
    {
        if (result)
            return;
        result.emplace(std::move(outcome));
        timer.cancel();
    }

    boost::asio::steady_timer timer;
    message_kind expected_kind;
    time_point queued_at{};
    /// Whether any of its bytes may have been handed to the network.
    bool sent = false;
    std::optional<call_result> result;
};

/// One connection to a peer, with the calls in flight on it.
class peer_connection
{
public:
    peer_connection(boost::asio::any_io_executor const& executor,
                    std::shared_ptr<client_context> context,
                    std::shared_ptr<reconnect_backoff> backoff,
                    config::socket_address peer);

    /// Connects, then reads responses until the connection ends.
    static boost::asio::awaitable<void>
    run(std::shared_ptr<peer_connection> self);

    /// Queues the frame of a call. The call gets its result later.
    void send(outgoing_frame frame, std::shared_ptr<pending_call> call,
              time_point now);

    /// Ends the wait of a call whose deadline has passed.
    void time_out(std::int64_t correlation, time_point now);

    /// Ends the wait of a call whose coroutine was cancelled.
    void cancel(std::int64_t correlation);

    /// Sends a probe when nothing was received for a while, and closes the
    /// connection when it was unresponsive or idle for too long.
    void check(time_point now);

    /// Ends the connection; calls in flight fail.
    void close(failure const& reason);

    bool takes_calls() const;
    bool closed() const;
    std::size_t calls() const;
    std::size_t queued_bytes() const;

private:
    static boost::asio::awaitable<void>
    write(std::shared_ptr<peer_connection> self);
    static void limit_connect(std::shared_ptr<peer_connection> const& self,
                              boost::asio::steady_timer& timer);

    boost::asio::awaitable<boost::system::error_code> connect();
    boost::asio::awaitable<failure> read_responses();
    std::optional<failure> accept(incoming_frame frame);
    void remove_call(std::int64_t correlation, failure const& reason);
    void stop_taking_calls();
    void probe(time_point now);
    void record_failure();

    frame_stream stream_;
    std::shared_ptr<client_context> context_;
    std::shared_ptr<reconnect_backoff> backoff_;
    config::socket_address peer_;
    std::unordered_map<std::int64_t, std::shared_ptr<pending_call>> calls_;
    /// Set when a call is queued while none is in flight, when a response
    /// arrives, and when the last call in flight times out. Inactivity is
    /// counted from here or from the last received bytes, whichever is later.
    time_point calls_changed_{};
    time_point last_probe_{};
    bool connected_ = false;
    /// Whether the peer has sent any frame.
    bool frame_received_ = false;
    /// Set when the connection is replaced: it takes no further calls and is
    /// closed when its last call has ended.
    bool draining_ = false;
};

} // namespace masticshift::peer_link

#endif
