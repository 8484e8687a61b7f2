#include "frame_stream.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace masticshift::peer_link
{

namespace
{

namespace asio = boost::asio;

/// The payload buffer grows by this much at a time, as bytes arrive, so that a
/// large length alone does not make the process allocate memory.
constexpr std::size_t read_chunk_bytes = 64 << 10;

/// Limits of one write. The last frame of a batch may exceed `batch_bytes`.
constexpr std::size_t batch_bytes = 256 << 10;
constexpr std::size_t batch_frames = 64;

/// A payload buffer larger than this is freed after its frame was decoded.
constexpr std::size_t kept_payload_bytes = 256 << 10;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

failure connection_failure(boost::system::error_code error)
{
    return {result_code::io_error, error.message()};
}

} // namespace

frame_stream::frame_stream(asio::ip::tcp::socket socket, frame_limits limits)
    : socket_(std::move(socket)),
      wake_(socket_.get_executor()),
      limits_(limits),
      last_arrival_(steady_clock::now())
{
    wake_.expires_at(asio::steady_timer::time_point::max());
}

asio::ip::tcp::socket& frame_stream::socket()
{
    return socket_;
}

asio::awaitable<outcome<incoming_frame>> frame_stream::read()
{
    frame_header header{};
    auto const [header_error, header_bytes] =
        co_await asio::async_read(socket_, asio::buffer(header), as_result);
    if (header_error)
        co_return connection_failure(header_error);
    last_arrival_ = steady_clock::now();
    auto const length = decode_frame_header(header, limits_);
    if (!length)
        co_return length.error();
    frame_started_ = last_arrival_;
    auto const error = co_await read_payload(*length);
    frame_started_.reset();
    if (error)
        co_return connection_failure(error);
    auto decoded = decode_payload(payload_, limits_);
    if (payload_.capacity() > kept_payload_bytes)
        std::vector<std::uint8_t>().swap(payload_);
    if (!decoded)
        co_return decoded.error();
    incoming_frame frame;
    frame.kind = *kind_of(decoded->content);
    frame.envelope = std::move(*decoded);
    frame.bytes = *length + header_bytes;
    co_return frame;
}

asio::awaitable<boost::system::error_code>
frame_stream::read_payload(std::size_t bytes)
{
    payload_.clear();
    while (payload_.size() < bytes)
    {
        auto const offset = payload_.size();
        auto const chunk = std::min(read_chunk_bytes, bytes - offset);
        payload_.resize(offset + chunk);
        auto const [error, count] = co_await asio::async_read(
            socket_, asio::buffer(payload_.data() + offset, chunk), as_result);
        if (error)
            co_return error;
        last_arrival_ = steady_clock::now();
    }
    co_return boost::system::error_code{};
}

void frame_stream::push(outgoing_frame frame)
{
    if (closed_)
        return;
    queued_bytes_ += frame.bytes.size();
    queue_.push_back(std::move(frame));
    wake_.cancel();
}

bool frame_stream::remove_queued(std::int64_t correlation)
{
    auto const found =
        std::ranges::find(queue_, correlation, &outgoing_frame::correlation);
    if (found == queue_.end())
        return false;
    queued_bytes_ -= found->bytes.size();
    queue_.erase(found);
    return true;
}

asio::awaitable<void> frame_stream::write_queue(frame_observer before_write)
{
    while (!closed_)
    {
        if (queue_.empty())
        {
            co_await wake_.async_wait(as_result);
            continue;
        }
        take_batch(before_write);
        write_started_ = steady_clock::now();
        auto const error = co_await write_batch();
        write_started_.reset();
        batch_.clear();
        if (error)
            break;
    }
}

void frame_stream::take_batch(frame_observer const& before_write)
{
    std::size_t bytes = 0;
    while (!queue_.empty() && batch_.size() < batch_frames &&
           bytes < batch_bytes)
    {
        before_write(queue_.front());
        bytes += queue_.front().bytes.size();
        batch_.push_back(std::move(queue_.front()));
        queue_.pop_front();
    }
    queued_bytes_ -= bytes;
}

asio::awaitable<boost::system::error_code> frame_stream::write_batch()
{
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(batch_.size());
    for (auto const& frame : batch_)
        buffers.push_back(asio::buffer(frame.bytes));
    auto const [error, count] =
        co_await asio::async_write(socket_, buffers, as_result);
    co_return error;
}

void frame_stream::close()
{
    closed_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
    wake_.cancel();
}

bool frame_stream::closed() const
{
    return closed_;
}

time_point frame_stream::last_arrival() const
{
    return last_arrival_;
}

std::optional<time_point> frame_stream::write_started() const
{
    return write_started_;
}

std::optional<time_point> frame_stream::frame_started() const
{
    return frame_started_;
}

std::size_t frame_stream::queued_bytes() const
{
    return queued_bytes_;
}

std::size_t frame_stream::unwritten_frames() const
{
    return queue_.size() + batch_.size();
}

} // namespace masticshift::peer_link
