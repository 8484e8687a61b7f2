#include <test_support/relay.hpp>

#include <test_support/reserved_port.hpp>

#include <boost/asio.hpp>

#include <algorithm>
#include <array>
#include <vector>

namespace masticshift::test_support
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr auto as_values = asio::as_tuple(asio::use_awaitable);
constexpr int bind_attempts = 5;
constexpr std::size_t buffer_size = 16 << 10;
constexpr milliseconds hold_check_interval{5};

/// The accepted socket and the socket to the target that it is relayed to.
struct relayed_connection
{
    explicit relayed_connection(tcp::socket accepted)
        : accepted_socket(std::move(accepted)),
          target_socket(accepted_socket.get_executor())
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        accepted_socket.close(ignored);
        target_socket.close(ignored);
    }

    /// Closes with a reset to the caller.
    void reset()
    {
        boost::system::error_code ignored;
        accepted_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

    tcp::socket accepted_socket;
    tcp::socket target_socket;
    bool silent = false;
    bool held = false;
    bool loses_responses = false;
};

using connection_ptr = std::shared_ptr<relayed_connection>;

tcp::endpoint to_endpoint(config::socket_address const& address)
{
    return {asio::ip::make_address(address.ip), address.port};
}

} // namespace

class relay::impl : public std::enable_shared_from_this<relay::impl>
{
public:
    impl(asio::any_io_executor executor, config::socket_address const& target)
        : executor_(std::move(executor)),
          target_(to_endpoint(target)),
          acceptor_(executor_)
    {
    }

    config::socket_address address() const
    {
        return port_.address();
    }

    void open()
    {
        if (acceptor_.is_open())
            return;
        bind();
        acceptor_.listen();
        asio::co_spawn(executor_, accept(shared_from_this()), asio::detached);
    }

    void close()
    {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        for (auto const& connection : take_connections())
            connection->close();
    }

    void set(link_state state)
    {
        state_ = state;
        if (state == link_state::cut)
            close();
        else
            open();
        if (state == link_state::resetting)
            reset_connections();
        for (auto const& connection : take_connections())
        {
            connection->held = state == link_state::held;
            connection->silent =
                connection->silent || state == link_state::silent;
            connections_.push_back(connection);
        }
    }

    void set_delay(milliseconds delay)
    {
        delay_ = delay;
    }

private:
    using self_ptr = std::shared_ptr<impl>;

    /// Another program may have chosen the port before it was reserved here,
    /// and listen on it since. Until the first bind succeeds nobody knows the
    /// address, so another port can be reserved.
    void bind()
    {
        acceptor_.open(tcp::v4());
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        boost::system::error_code error;
        acceptor_.bind(to_endpoint(address()), error);
        for (int i = 0; error && !is_address_fixed_ && i < bind_attempts; ++i)
        {
            port_ = reserved_port();
            acceptor_.bind(to_endpoint(address()), error);
        }
        if (error)
            throw boost::system::system_error(error, "relay");
        is_address_fixed_ = true;
    }

    std::vector<connection_ptr> take_connections()
    {
        std::vector<connection_ptr> taken;
        for (auto const& known : connections_)
        {
            if (auto connection = known.lock())
                taken.push_back(std::move(connection));
        }
        connections_.clear();
        return taken;
    }

    void reset_connections()
    {
        for (auto const& connection : take_connections())
            connection->reset();
    }

    void add(connection_ptr const& connection)
    {
        std::erase_if(connections_,
                      [](auto const& known)
                      {
                          return known.expired();
                      });
        connections_.push_back(connection);
    }

    asio::awaitable<void> accept(self_ptr self)
    {
        while (acceptor_.is_open())
        {
            auto [error, socket] = co_await acceptor_.async_accept(as_values);
            if (error)
                co_return;
            auto const connection =
                std::make_shared<relayed_connection>(std::move(socket));
            if (state_ == link_state::resetting)
            {
                connection->reset();
                continue;
            }
            add(connection);
            asio::co_spawn(executor_, connect(self, connection),
                           asio::detached);
        }
    }

    asio::awaitable<void> connect(self_ptr self, connection_ptr connection)
    {
        auto const [error] = co_await connection->target_socket.async_connect(
            target_, as_values);
        if (error)
        {
            connection->close();
            co_return;
        }
        boost::system::error_code ignored;
        connection->accepted_socket.set_option(tcp::no_delay(true), ignored);
        connection->target_socket.set_option(tcp::no_delay(true), ignored);
        asio::co_spawn(executor_,
                       pump(self, connection, connection->target_socket,
                            connection->accepted_socket),
                       asio::detached);
        co_await pump(self, connection, connection->accepted_socket,
                      connection->target_socket);
    }

    asio::awaitable<void> pump(self_ptr self, connection_ptr connection,
                               tcp::socket& from, tcp::socket& to)
    {
        std::array<char, buffer_size> bytes{};
        while (true)
        {
            auto const [read_error, count] =
                co_await from.async_read_some(asio::buffer(bytes), as_values);
            if (read_error)
                break;
            if (state_ == link_state::delayed)
                co_await wait_for(delay_);
            while (connection->held)
                co_await wait_for(hold_check_interval);
            if (connection->silent || is_lost_response(*connection, to))
                continue;
            auto const [write_error, written] = co_await asio::async_write(
                to, asio::buffer(bytes.data(), count), as_values);
            if (write_error)
                break;
        }
        // A silent connection does not pass on that one side has closed it.
        if (!connection->silent)
            connection->close();
    }

    /// Whether these bytes are lost because they are a response. Later ones on
    /// the connection would make no sense without them.
    bool is_lost_response(relayed_connection& connection, tcp::socket const& to)
    {
        if (&to != &connection.accepted_socket)
            return false;
        if (state_ == link_state::one_way)
            connection.loses_responses = true;
        return connection.loses_responses;
    }

    asio::awaitable<void> wait_for(milliseconds pause)
    {
        asio::steady_timer timer(executor_, pause);
        co_await timer.async_wait(as_values);
    }

    asio::any_io_executor executor_;
    tcp::endpoint target_;
    reserved_port port_;
    tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<relayed_connection>> connections_;
    milliseconds delay_{100};
    link_state state_ = link_state::passing;
    bool is_address_fixed_ = false;
};

relay::relay(network_thread& network, config::socket_address const& target)
    : network_(network),
      impl_(std::make_shared<impl>(network.executor(), target))
{
    set(link_state::passing);
}

relay::~relay()
{
    network_.run(
        [this]
        {
            impl_->close();
        });
}

config::socket_address relay::address() const
{
    return impl_->address();
}

void relay::set(link_state state)
{
    network_.run(
        [&]
        {
            impl_->set(state);
        });
}

void relay::set_delay(milliseconds delay)
{
    network_.run(
        [&]
        {
            impl_->set_delay(delay);
        });
}

} // namespace masticshift::test_support
