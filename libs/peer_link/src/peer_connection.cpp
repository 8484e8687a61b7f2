#include "peer_connection.hpp"

#include "socket_options.hpp"

#include <core/log.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace masticshift::peer_link
{

namespace
{

namespace asio = boost::asio;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Correlation of a frame that belongs to no call, such as a probe.
constexpr std::int64_t no_call = 0;

failure unreachable(config::socket_address const& peer, std::string_view why)
{
    return {result_code::peer_unreachable,
            config::to_string(peer) + ": " + std::string(why)};
}

failure failure_of(wire::refusal const& refusal)
{
    auto const code = result_code_of(refusal.code);
    return {code.value_or(result_code::overloaded), refusal.detail};
}

/// On one host, the kernel may choose the destination port as the source port.
/// Such a socket is connected to itself and keeps the peer from binding its
/// port.
bool connected_to_itself(asio::ip::tcp::socket const& socket)
{
    boost::system::error_code error;
    auto const local = socket.local_endpoint(error);
    return !error && local == socket.remote_endpoint(error);
}

} // namespace

peer_connection::peer_connection(asio::any_io_executor const& executor,
                                 std::shared_ptr<client_context> context,
                                 std::shared_ptr<reconnect_backoff> backoff,
                                 config::socket_address peer)
    : stream_(asio::ip::tcp::socket(executor), context->limits.frames),
      context_(std::move(context)),
      backoff_(std::move(backoff)),
      peer_(std::move(peer))
{
}

asio::awaitable<void>
peer_connection::run(std::shared_ptr<peer_connection> self)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    limit_connect(self, timer);
    auto const error = co_await self->connect();
    timer.cancel();
    if (self->closed())
    {
        co_return;
    }
    if (error)
    {
        self->record_failure();
        self->close(unreachable(self->peer_, error.message()));
        co_return;
    }
    self->connected_ = true;
    ++self->context_->traffic.connections_opened;
    asio::co_spawn(timer.get_executor(), write(self), asio::detached);
    auto const reason = co_await self->read_responses();
    if (!self->closed() && !self->frame_received_)
        self->record_failure();
    self->close(reason);
}

void peer_connection::limit_connect(
    std::shared_ptr<peer_connection> const& self, asio::steady_timer& timer)
{
    timer.expires_after(self->context_->limits.connect);
    timer.async_wait(
        [self](boost::system::error_code error)
        {
            if (error || self->connected_ || self->closed())
                return;
            self->record_failure();
            self->close(unreachable(self->peer_, "connecting timed out"));
        });
}

asio::awaitable<boost::system::error_code> peer_connection::connect()
{
    boost::system::error_code error;
    auto const ip = asio::ip::make_address(peer_.ip, error);
    if (error)
        co_return error;
    auto& socket = stream_.socket();
    asio::ip::tcp::endpoint const endpoint(ip, peer_.port);
    auto const [connect_error] =
        co_await socket.async_connect(endpoint, as_result);
    if (connect_error)
        co_return connect_error;
    if (connected_to_itself(socket))
        co_return asio::error::make_error_code(asio::error::connection_refused);
    set_link_options(socket, context_->limits.unacknowledged);
    co_return boost::system::error_code{};
}

asio::awaitable<void>
peer_connection::write(std::shared_ptr<peer_connection> self)
{
    auto const before_write = [&self](outgoing_frame const& frame)
    {
        self->context_->traffic.sent.add(frame.kind, frame.bytes.size());
        auto const found = self->calls_.find(frame.correlation);
        if (found != self->calls_.end())
            found->second->sent = true;
    };
    co_await self->stream_.write_queue(before_write);
    self->close(unreachable(self->peer_, "writing to the connection failed"));
}

asio::awaitable<failure> peer_connection::read_responses()
{
    for (;;)
    {
        auto frame = co_await stream_.read();
        if (frame)
        {
            auto const fault = accept(std::move(*frame));
            if (!fault)
                continue;
            frame = *fault;
        }
        if (frame.error().code != result_code::peer_protocol)
            co_return unreachable(peer_, frame.error().detail);
        ++context_->traffic.protocol_errors;
        co_return frame.error();
    }
}

std::optional<failure> peer_connection::accept(incoming_frame frame)
{
    context_->traffic.received.add(frame.kind, frame.bytes);
    backoff_->succeeded();
    frame_received_ = true;
    auto const found = calls_.find(frame.envelope.correlation);
    if (found == calls_.end())
        return std::nullopt;
    auto const call = found->second;
    auto const is_refusal = frame.kind == message_kind::refusal_answer;
    if (!is_refusal && frame.kind != call->expected_kind)
    {
        return failure{result_code::peer_protocol,
                       config::to_string(peer_) +
                           " sent a response of an unexpected kind"};
    }
    calls_.erase(found);
    calls_changed_ = stream_.last_arrival();
    auto& content = frame.envelope.content;
    if (is_refusal)
        call->finish(peer_failure{false, failure_of(content.refusal_answer)});
    else
        call->finish(std::move(content));
    if (draining_ && calls_.empty())
        close(unreachable(peer_, "replaced by a new connection"));
    return std::nullopt;
}

void peer_connection::send(outgoing_frame frame,
                           std::shared_ptr<pending_call> call, time_point now)
{
    if (calls_.empty())
        calls_changed_ = now;
    call->queued_at = now;
    calls_.emplace(frame.correlation, std::move(call));
    stream_.push(std::move(frame));
}

void peer_connection::time_out(std::int64_t correlation, time_point now)
{
    auto const found = calls_.find(correlation);
    if (found == calls_.end())
        return;
    auto const nothing_received =
        !frame_received_ || stream_.last_arrival() < found->second->queued_at;
    remove_call(correlation, {result_code::deadline_passed,
                              config::to_string(peer_) +
                                  " did not respond before the deadline"});
    calls_changed_ = calls_.empty() ? now : calls_changed_;
    if (connected_ && nothing_received)
        stop_taking_calls();
}

void peer_connection::cancel(std::int64_t correlation)
{
    remove_call(correlation, {result_code::cancelled,
                              "the call was cancelled by its caller"});
}

void peer_connection::remove_call(std::int64_t correlation,
                                  failure const& reason)
{
    auto const found = calls_.find(correlation);
    if (found == calls_.end())
        return;
    auto const call = found->second;
    calls_.erase(found);
    auto const removed = stream_.remove_queued(correlation);
    call->finish(peer_failure{!removed && call->sent, reason});
    if (draining_ && calls_.empty())
        close(unreachable(peer_, "replaced by a new connection"));
}

void peer_connection::stop_taking_calls()
{
    draining_ = true;
    log_event(log_level::info, "peer_connection_replaced",
              {{"peer", config::to_string(peer_)}});
    if (calls_.empty())
        close(unreachable(peer_, "replaced by a new connection"));
}

void peer_connection::check(time_point now)
{
    if (!connected_ || closed())
        return;
    auto const inactive_for =
        now - std::max(stream_.last_arrival(), calls_changed_);
    if (calls_.empty())
    {
        if (inactive_for >= context_->limits.idle)
            close(unreachable(peer_, "idle"));
        return;
    }
    if (inactive_for >= context_->limits.receive_timeout)
    {
        ++context_->traffic.timed_out_connections;
        close(unreachable(peer_, "the connection went silent"));
        return;
    }
    if (inactive_for >= context_->limits.receive_timeout / 2)
        probe(now);
}

void peer_connection::probe(time_point now)
{
    if (now - last_probe_ < context_->limits.receive_timeout / 2)
        return;
    last_probe_ = now;
    wire::envelope envelope;
    envelope.correlation = no_call;
    envelope.content = make_message(wire::probe{});
    auto bytes = encode_frame(envelope, context_->limits.frames);
    if (bytes)
        stream_.push({no_call, message_kind::probe_call, std::move(*bytes)});
}

void peer_connection::record_failure()
{
    backoff_->failed(steady_clock::now(), context_->generator);
}

void peer_connection::close(failure const& reason)
{
    if (closed())
        return;
    stream_.close();
    // Repeated failures to connect to an unreachable peer are not logged.
    if (!calls_.empty() && (connected_ || backoff_->failures() <= 1))
    {
        log_event(log_level::info, "peer_connection_lost",
                  {{"peer", config::to_string(peer_)},
                   {"calls", calls_.size()},
                   {"detail", reason.detail}});
    }
    for (auto const& [correlation, call] : std::exchange(calls_, {}))
        call->finish(peer_failure{call->sent, reason});
}

bool peer_connection::takes_calls() const
{
    return !closed() && !draining_;
}

bool peer_connection::closed() const
{
    return stream_.closed();
}

std::size_t peer_connection::calls() const
{
    return calls_.size();
}

std::size_t peer_connection::queued_bytes() const
{
    return stream_.queued_bytes();
}

} // namespace masticshift::peer_link
