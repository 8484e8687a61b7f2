#ifndef MASTICSHIFT_PEER_LINK_FRAME_STREAM_HPP
#define MASTICSHIFT_PEER_LINK_FRAME_STREAM_HPP

#include <core/outcome.hpp>
#include <core/time.hpp>
#include <peer_link/frame_codec.hpp>
#include <peer_link/message_kind.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace masticshift::peer_link
{

/// A frame to be written.
struct outgoing_frame
{
    std::int64_t correlation = 0;
    message_kind kind = message_kind::acknowledgement_answer;
    std::string bytes;
};

/// A received frame.
struct incoming_frame
{
    wire::envelope envelope;
    message_kind kind = message_kind::acknowledgement_answer;
    std::size_t bytes = 0;
};

/// Reads frames from one socket and writes queued frames to it. The owner must
/// outlive the coroutines and closes the stream to end them.
class frame_stream
{
public:
    frame_stream(boost::asio::ip::tcp::socket socket, frame_limits limits);

    boost::asio::ip::tcp::socket& socket();

    /// Reads the next frame. Fails with `io_error` when the connection ends and
    /// with `peer_protocol` when the received bytes are not a valid frame.
    boost::asio::awaitable<outcome<incoming_frame>> read();

    /// Queues a frame for writing. Ignored once the stream is closed.
    void push(outgoing_frame frame);

    /// Removes a frame from the queue. False when it is not queued any more
    /// because writing it has started.
    bool remove_queued(std::int64_t correlation);

    using frame_observer = std::function<void(outgoing_frame const& frame)>;

    /// Writes queued frames until the stream is closed or a write fails. Calls
    /// `before_write` for each frame before its first byte is written.
    boost::asio::awaitable<void> write_queue(frame_observer before_write);

    void close();
    bool closed() const;

    /// When bytes were last received, initially the time of construction.
    time_point last_arrival() const;
    /// Start of the write in progress, if any.
    std::optional<time_point> write_started() const;
    /// When the length of the frame that is being received arrived, if any.
    std::optional<time_point> frame_started() const;
    std::size_t queued_bytes() const;
    /// Frames that are queued or being written.
    std::size_t unwritten_frames() const;

private:
    boost::asio::awaitable<boost::system::error_code>
    read_payload(std::size_t bytes);
    boost::asio::awaitable<boost::system::error_code> write_batch();
    void take_batch(frame_observer const& before_write);

    boost::asio::ip::tcp::socket socket_;
    /// Cancelled to wake the writer when a frame is queued or the stream
    /// closes.
    boost::asio::steady_timer wake_;
    frame_limits limits_;
    std::vector<std::uint8_t> payload_;
    std::deque<outgoing_frame> queue_;
    std::vector<outgoing_frame> batch_;
    std::size_t queued_bytes_ = 0;
    time_point last_arrival_;
    std::optional<time_point> write_started_;
    std::optional<time_point> frame_started_;
    bool closed_ = false;
};

} // namespace masticshift::peer_link

#endif
