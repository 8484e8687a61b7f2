#include <peer_link/peer_client.hpp>

#include "peer_connection.hpp"
#include "stall_detector.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace masticshift::peer_link
{

namespace
{

namespace asio = boost::asio;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// The connections to a peer that was called before.
struct known_peer
{
    std::shared_ptr<reconnect_backoff> backoff;
    std::shared_ptr<peer_connection> current;
    /// Connections that take no further calls but still have some in flight.
    std::vector<std::shared_ptr<peer_connection>> draining;
};

/// A call that was queued on a connection.
struct started_call
{
    std::shared_ptr<peer_connection> connection;
    std::shared_ptr<pending_call> pending;
    std::int64_t correlation = 0;
};

using start_result = boost::system::result<started_call, peer_failure>;

peer_failure not_sent(result_code code, std::string detail)
{
    return {false, {code, std::move(detail)}};
}

} // namespace

void throw_exception_from_error(peer_failure const& error,
                                boost::source_location const& at)
{
    throw_exception_from_error(error.error, at);
}

class peer_client::impl
{
public:
    impl(asio::any_io_executor executor, peer_client_limits limits,
         std::uint64_t seed)
        : executor_(std::move(executor)),
          sweep_timer_(executor_),
          context_(std::make_shared<client_context>())
    {
        context_->limits = limits;
        context_->generator.seed(seed);
    }

    static asio::awaitable<call_result> call(std::shared_ptr<impl> self,
                                             config::socket_address peer,
                                             wire::message content,
                                             time_point deadline)
    {
        auto const started = self->start(self, peer, std::move(content),
                                         deadline, steady_clock::now());
        if (!started)
            co_return started.error();
        auto const& pending = started->pending;
        co_await pending->timer.async_wait(as_result);
        if (!pending->result)
            time_out_or_cancel(*started, deadline, steady_clock::now());
        co_return std::move(*pending->result);
    }

    void forget(config::socket_address const& peer)
    {
        auto const found = peers_.find(config::to_string(peer));
        if (found == peers_.end())
            return;
        close(found->second, {result_code::peer_unreachable, "forgotten"});
        peers_.erase(found);
    }

    void stop()
    {
        stopped_ = true;
        sweep_timer_.cancel();
        failure const reason{result_code::peer_unreachable, "stopped"};
        for (auto& [address, peer] : peers_)
            close(peer, reason);
        peers_.clear();
    }

    std::size_t connections() const
    {
        std::size_t count = 0;
        for (auto const& [address, peer] : peers_)
        {
            count += peer.draining.size();
            if (peer.current && !peer.current->closed())
                ++count;
        }
        return count;
    }

    peer_link::traffic const& traffic() const
    {
        return context_->traffic;
    }

private:
    start_result start(std::shared_ptr<impl> const& self,
                       config::socket_address const& peer,
                       wire::message content, time_point deadline,
                       time_point now);
    start_result send_on(std::shared_ptr<peer_connection> connection,
                         wire::message content, message_kind kind,
                         time_point deadline, time_point now);
    std::shared_ptr<peer_connection>
    connection_to(config::socket_address const& address, time_point now);
    static void time_out_or_cancel(started_call const& call,
                                   time_point deadline, time_point now);
    static void close(known_peer& peer, failure const& reason);
    static asio::awaitable<void> sweep(std::shared_ptr<impl> self);
    void check_all(time_point now);

    asio::any_io_executor executor_;
    asio::steady_timer sweep_timer_;
    std::shared_ptr<client_context> context_;
    std::map<std::string, known_peer, std::less<>> peers_;
    bool sweeping_ = false;
    bool stopped_ = false;
};

start_result peer_client::impl::start(std::shared_ptr<impl> const& self,
                                      config::socket_address const& peer,
                                      wire::message content,
                                      time_point deadline, time_point now)
{
    if (stopped_)
        return not_sent(result_code::peer_unreachable, "stopped");
    if (deadline <= now)
        return not_sent(result_code::deadline_passed,
                        "the deadline has passed");
    auto const kind = kind_of(content);
    if (!kind || !answer_kind_of(*kind))
        return not_sent(result_code::peer_protocol,
                        "the message is not a call");
    auto connection = connection_to(peer, now);
    if (!connection)
    {
        return not_sent(result_code::peer_unreachable,
                        config::to_string(peer) + ": in back-off");
    }
    if (!std::exchange(sweeping_, true))
        asio::co_spawn(executor_, sweep(self), asio::detached);
    return send_on(std::move(connection), std::move(content), *kind, deadline,
                   now);
}

start_result
peer_client::impl::send_on(std::shared_ptr<peer_connection> connection,
                           wire::message content, message_kind kind,
                           time_point deadline, time_point now)
{
    auto const& limits = context_->limits;
    wire::envelope envelope;
    envelope.correlation = ++context_->last_correlation;
    envelope.content = std::move(content);
    auto bytes = encode_frame(envelope, limits.frames);
    if (!bytes)
        return peer_failure{false, bytes.error()};
    auto const queued = connection->queued_bytes() + bytes->size();
    if (connection->calls() >= limits.max_calls_per_connection ||
        queued > limits.max_queued_bytes)
    {
        return not_sent(result_code::overloaded, "too many calls to this peer");
    }
    auto pending = std::make_shared<pending_call>(executor_, deadline,
                                                  *answer_kind_of(kind));
    connection->send({envelope.correlation, kind, std::move(*bytes)}, pending,
                     now);
    return started_call{std::move(connection), std::move(pending),
                        envelope.correlation};
}

std::shared_ptr<peer_connection>
peer_client::impl::connection_to(config::socket_address const& address,
                                 time_point now)
{
    auto& peer = peers_[config::to_string(address)];
    if (peer.current && peer.current->takes_calls())
        return peer.current;
    if (!peer.backoff)
    {
        peer.backoff = std::make_shared<reconnect_backoff>(
            context_->limits.first_backoff, context_->limits.longest_backoff);
    }
    if (!peer.backoff->allowed(now))
        return nullptr;
    if (peer.current && !peer.current->closed())
        peer.draining.push_back(peer.current);
    peer.current = std::make_shared<peer_connection>(executor_, context_,
                                                     peer.backoff, address);
    asio::co_spawn(executor_, peer_connection::run(peer.current),
                   asio::detached);
    return peer.current;
}

void peer_client::impl::time_out_or_cancel(started_call const& call,
                                           time_point deadline, time_point now)
{
    if (now >= deadline)
        call.connection->time_out(call.correlation, now);
    else
        call.connection->cancel(call.correlation);
}

void peer_client::impl::close(known_peer& peer, failure const& reason)
{
    if (peer.current)
        peer.current->close(reason);
    for (auto const& connection : peer.draining)
        connection->close(reason);
}

asio::awaitable<void> peer_client::impl::sweep(std::shared_ptr<impl> self)
{
    stall_detector detector;
    while (!self->stopped_)
    {
        self->sweep_timer_.expires_after(sweep_interval);
        co_await self->sweep_timer_.async_wait(as_result);
        auto const now = steady_clock::now();
        if (!self->stopped_ && !detector.stalled(now))
            self->check_all(now);
    }
}

void peer_client::impl::check_all(time_point now)
{
    for (auto& [address, peer] : peers_)
    {
        if (peer.current)
            peer.current->check(now);
        for (auto const& connection : peer.draining)
            connection->check(now);
        std::erase_if(peer.draining,
                      [](auto const& connection)
                      {
                          return connection->closed();
                      });
    }
}

peer_client::peer_client(asio::any_io_executor executor,
                         peer_client_limits limits, std::uint64_t seed)
    : impl_(std::make_shared<impl>(std::move(executor), limits, seed))
{
}

peer_client::~peer_client()
{
    impl_->stop();
}

asio::awaitable<call_result> peer_client::call(config::socket_address peer,
                                               wire::message content,
                                               time_point deadline)
{
    return impl::call(impl_, std::move(peer), std::move(content), deadline);
}

void peer_client::forget(config::socket_address const& peer)
{
    impl_->forget(peer);
}

void peer_client::stop()
{
    impl_->stop();
}

std::size_t peer_client::connections() const
{
    return impl_->connections();
}

peer_link::traffic const& peer_client::traffic() const
{
    return impl_->traffic();
}

} // namespace masticshift::peer_link
