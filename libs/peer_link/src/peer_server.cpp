#include <peer_link/peer_server.hpp>

#include "peer_session.hpp"
#include "socket_options.hpp"
#include "stall_detector.hpp"

#include <core/log.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace masticshift::peer_link
{

namespace
{

namespace asio = boost::asio;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Pause after a failed accept, for example when no file descriptor is free.
constexpr milliseconds accept_pause{100};

} // namespace

class peer_server::impl
{
public:
    impl(asio::any_io_executor const& executor, peer_server_limits limits,
         peer_handler handler)
        : acceptor_(executor),
          sweep_timer_(executor),
          accept_timer_(executor),
          context_(std::make_shared<server_context>())
    {
        context_->limits = limits;
        context_->handler = std::move(handler);
    }

    outcome<void> listen(std::string const& ip, std::uint16_t port);
    /// Starts the coroutines of a server that is listening.
    static void start(std::shared_ptr<impl> const& self);
    void stop_accepting();
    void stop();

    std::uint16_t port() const
    {
        return port_;
    }

    std::size_t connections() const
    {
        return static_cast<std::size_t>(
            std::ranges::count(sessions_, false, &peer_session::closed));
    }

    std::size_t calls() const
    {
        std::size_t count = 0;
        for (auto const& session : sessions_)
            count += session->calls();
        return count;
    }

    peer_link::traffic const& traffic() const
    {
        return context_->traffic;
    }

private:
    static asio::awaitable<void> accept(std::shared_ptr<impl> self);
    static asio::awaitable<void> sweep(std::shared_ptr<impl> self);
    void open_session(asio::ip::tcp::socket socket);
    void check_all(time_point now);
    void drop_closed();

    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer sweep_timer_;
    asio::steady_timer accept_timer_;
    std::shared_ptr<server_context> context_;
    std::vector<std::shared_ptr<peer_session>> sessions_;
    std::uint16_t port_ = 0;
    bool stopped_ = false;
};

outcome<void> peer_server::impl::listen(std::string const& ip,
                                        std::uint16_t port)
{
    boost::system::error_code error;
    asio::ip::tcp::endpoint const endpoint(asio::ip::make_address(ip, error),
                                           port);
    if (!error)
        acceptor_.open(endpoint.protocol(), error);
    if (!error)
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor_.bind(endpoint, error);
    if (!error)
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (!error)
        port_ = acceptor_.local_endpoint(error).port();
    if (!error)
        return {};
    return failure{result_code::bind_failed,
                   ip + ":" + std::to_string(port) + ": " + error.message()};
}

void peer_server::impl::start(std::shared_ptr<impl> const& self)
{
    auto const executor = self->acceptor_.get_executor();
    asio::co_spawn(executor, accept(self), asio::detached);
    asio::co_spawn(executor, sweep(self), asio::detached);
}

asio::awaitable<void> peer_server::impl::accept(std::shared_ptr<impl> self)
{
    while (self->acceptor_.is_open())
    {
        auto [error, socket] = co_await self->acceptor_.async_accept(as_result);
        if (!error)
        {
            self->open_session(std::move(socket));
            continue;
        }
        if (!self->acceptor_.is_open())
            break;
        log_event(log_level::warning, "peer_accept_failed",
                  {{"detail", error.message()}});
        self->accept_timer_.expires_after(accept_pause);
        co_await self->accept_timer_.async_wait(as_result);
    }
}

void peer_server::impl::open_session(asio::ip::tcp::socket socket)
{
    drop_closed();
    if (sessions_.size() >= context_->limits.max_connections)
    {
        log_event(log_level::warning, "peer_connection_refused",
                  {{"detail", "too many connections"}});
        return;
    }
    set_link_options(socket, context_->limits.unacknowledged);
    ++context_->traffic.connections_opened;
    auto session = std::make_shared<peer_session>(std::move(socket), context_);
    asio::co_spawn(acceptor_.get_executor(), peer_session::run(session),
                   asio::detached);
    sessions_.push_back(std::move(session));
}

asio::awaitable<void> peer_server::impl::sweep(std::shared_ptr<impl> self)
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

void peer_server::impl::check_all(time_point now)
{
    for (auto const& session : sessions_)
        session->check(now);
    drop_closed();
}

void peer_server::impl::drop_closed()
{
    std::erase_if(sessions_,
                  [](auto const& session)
                  {
                      return session->closed();
                  });
}

void peer_server::impl::stop_accepting()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    accept_timer_.cancel();
}

void peer_server::impl::stop()
{
    stopped_ = true;
    stop_accepting();
    sweep_timer_.cancel();
    for (auto const& session : sessions_)
        session->close("the peer server was stopped");
    sessions_.clear();
}

peer_server::peer_server(asio::any_io_executor const& executor,
                         peer_server_limits limits, peer_handler handler)
    : impl_(std::make_shared<impl>(executor, limits, std::move(handler)))
{
}

peer_server::~peer_server()
{
    impl_->stop();
}

outcome<void> peer_server::listen(std::string const& ip, std::uint16_t port)
{
    auto listening = impl_->listen(ip, port);
    if (listening)
        impl::start(impl_);
    return listening;
}

std::uint16_t peer_server::port() const
{
    return impl_->port();
}

std::size_t peer_server::connections() const
{
    return impl_->connections();
}

std::size_t peer_server::calls() const
{
    return impl_->calls();
}

void peer_server::stop_accepting()
{
    impl_->stop_accepting();
}

void peer_server::stop()
{
    impl_->stop();
}

peer_link::traffic const& peer_server::traffic() const
{
    return impl_->traffic();
}

} // namespace masticshift::peer_link
