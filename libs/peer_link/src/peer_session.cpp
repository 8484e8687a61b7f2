#include "peer_session.hpp"

#include <core/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <exception>
#include <utility>

namespace masticshift::peer_link
{

namespace
{

namespace asio = boost::asio;

wire::message overload_refusal()
{
    wire::refusal refusal;
    refusal.code = static_cast<int>(result_code::overloaded);
    refusal.detail = "too many calls on this connection";
    return make_message(std::move(refusal));
}

} // namespace

peer_session::peer_session(asio::ip::tcp::socket socket,
                           std::shared_ptr<server_context> context)
    : stream_(std::move(socket), context->limits.frames),
      context_(std::move(context))
{
}

asio::awaitable<void> peer_session::run(std::shared_ptr<peer_session> self)
{
    asio::co_spawn(co_await asio::this_coro::executor, write(self),
                   asio::detached);
    while (!self->closed())
    {
        auto frame = co_await self->stream_.read();
        if (!frame)
        {
            self->close_with_error(frame.error());
            break;
        }
        accept(self, std::move(*frame));
    }
}

void peer_session::accept(std::shared_ptr<peer_session> const& self,
                          incoming_frame frame)
{
    self->context_->traffic.received.add(frame.kind, frame.bytes);
    auto const correlation = frame.envelope.correlation;
    if (!answer_kind_of(frame.kind))
    {
        self->close_with_error({result_code::peer_protocol,
                                "received a message that is not a call"});
        return;
    }
    if (frame.kind == message_kind::probe_call)
    {
        self->answer(correlation, make_message(wire::acknowledgement{}));
        return;
    }
    if (self->overloaded())
    {
        self->answer(correlation, overload_refusal());
        return;
    }
    ++self->running_calls_;
    self->running_bytes_ += frame.bytes;
    asio::co_spawn(self->stream_.socket().get_executor(),
                   handle(self, std::move(frame)), asio::detached);
}

bool peer_session::overloaded() const
{
    auto const& limits = context_->limits;
    return calls() >= limits.max_calls_per_connection ||
           running_bytes_ >= limits.max_bytes_per_connection;
}

asio::awaitable<void> peer_session::handle(std::shared_ptr<peer_session> self,
                                           incoming_frame frame)
{
    wire::message content;
    try
    {
        content =
            co_await self->context_->handler(std::move(frame.envelope.content));
    }
    catch (std::exception const& error)
    {
        log_event(log_level::error, "peer_handler_failed",
                  {{"kind", name_of(frame.kind)}, {"detail", error.what()}});
        content = wire::message{};
    }
    --self->running_calls_;
    self->running_bytes_ -= frame.bytes;
    self->answer(frame.envelope.correlation, std::move(content));
}

void peer_session::answer(std::int64_t correlation, wire::message content)
{
    if (closed())
        return;
    auto const kind = kind_of(content);
    wire::envelope envelope;
    envelope.correlation = correlation;
    envelope.content = std::move(content);
    auto bytes = encode_frame(envelope, context_->limits.frames);
    if (!bytes)
    {
        close("the response could not be encoded");
        return;
    }
    stream_.push({correlation, *kind, std::move(*bytes)});
    if (stream_.queued_bytes() > context_->limits.max_bytes_per_connection)
        close("too many bytes of unsent responses");
}

asio::awaitable<void> peer_session::write(std::shared_ptr<peer_session> self)
{
    auto const count_sent = [&self](outgoing_frame const& frame)
    {
        self->context_->traffic.sent.add(frame.kind, frame.bytes.size());
    };
    co_await self->stream_.write_queue(count_sent);
    self->close("writing to the connection failed");
}

void peer_session::check(time_point now)
{
    auto const& limits = context_->limits;
    auto const frame_start = stream_.frame_started();
    auto const write_start = stream_.write_started();
    auto const idle =
        calls() == 0 && now - stream_.last_arrival() > limits.idle;
    if (frame_start && now - *frame_start > limits.frame_read)
        close("a frame did not arrive completely in time");
    else if (write_start && now - *write_start > limits.write)
        close("a response was not written in time");
    else if (idle)
        close("idle");
}

void peer_session::close_with_error(failure const& error)
{
    if (error.code == result_code::peer_protocol)
    {
        ++context_->traffic.protocol_errors;
        log_event(log_level::warning, "peer_protocol",
                  {{"detail", error.detail}});
    }
    close(error.detail);
}

void peer_session::close(std::string_view reason)
{
    if (closed())
        return;
    auto const lost_calls = calls();
    stream_.close();
    if (lost_calls == 0)
        return;
    log_event(log_level::info, "peer_session_lost",
              {{"calls", lost_calls}, {"detail", reason}});
}

bool peer_session::closed() const
{
    return stream_.closed();
}

std::size_t peer_session::calls() const
{
    return closed() ? 0 : running_calls_ + stream_.unwritten_frames();
}

} // namespace masticshift::peer_link
