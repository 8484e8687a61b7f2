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

/// A frame that waits to be written.
struct outgoing_frame
{
    std::int64_t correlation = 0;
    message_kind kind = message_kind::acknowledgement_answer;
    std::string bytes;
};

/// A frame that arrived.
struct incoming_frame
{
    wire::envelope envelope;
    message_kind kind = message_kind::acknowledgement_answer;
    std::size_t bytes = 0;
};

/// Frames over one socket: a reader, and a writer with a queue. The owner
/// outlives the coroutines and closes the stream to end them.
class frame_stream
{
public:
    frame_stream(boost::asio::ip::tcp::socket socket, frame_limits limits);

    boost::asio::ip::tcp::socket& socket();

    /// The next frame. `io_error` when the connection ends, `peer_protocol`
    /// when it carries something else.
    boost::asio::awaitable<outcome<incoming_frame>> read();

    void push(outgoing_frame frame);

    /// Takes a frame back. False when it is being written or was written.
    bool withdraw(std::int64_t correlation);

    using frame_observer = std::function<void(outgoing_frame const& frame)>;

    /// Writes queued frames until the stream is closed or broken. Calls
    /// `before` ahead of the first byte of each frame.
    boost::asio::awaitable<void> write_queue(frame_observer before);

    void close();
    bool closed() const;

    /// When bytes last arrived.
    time_point last_arrival() const;
    /// When the write in progress began.
    std::optional<time_point> write_began() const;
    /// When the frame that is arriving began.
    std::optional<time_point> frame_began() const;
    std::size_t queued_bytes() const;
    /// Frames that wait or are being written.
    std::size_t unwritten_frames() const;

private:
    boost::asio::awaitable<boost::system::error_code>
    read_payload(std::size_t bytes);
    boost::asio::awaitable<boost::system::error_code> write_batch();
    void take_batch(frame_observer const& before);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer wake_;
    frame_limits limits_;
    std::vector<std::uint8_t> payload_;
    std::deque<outgoing_frame> queue_;
    std::vector<outgoing_frame> batch_;
    std::size_t queued_bytes_ = 0;
    time_point last_arrival_;
    std::optional<time_point> write_began_;
    std::optional<time_point> frame_began_;
    bool closed_ = false;
};

} // namespace masticshift::peer_link

#endif
