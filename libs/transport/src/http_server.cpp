#include <transport/http_server.hpp>

#include "beast_types.hpp"

#include <list>
#include <stdexcept>

#include <poll.h>

namespace masticshift::transport
{

namespace
{

using request_parser = http::request_parser<http::string_body>;

constexpr std::size_t read_chunk_bytes = 4'096;

/// How long the server keeps reading from a refused client, so that the client
/// receives its response before the connection is closed. Also the time in
/// which an idle connection may still send a request while the server is
/// closing.
constexpr milliseconds linger{500};

struct session
{
    explicit session(tcp::socket socket)
        : stream(std::move(socket)), read_timer(stream.get_executor())
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    /// Cancels a read that takes too long. The timeout of Beast's stream would
    /// close the socket, and the client would get no response.
    asio::steady_timer read_timer;
    bool read_timed_out = false;
    /// Whether it waits for the first byte of a request.
    bool idle = false;
};

/// Registers a session while it is served.
class session_registration
{
public:
    session_registration(std::list<session*>& sessions, session& active)
        : sessions_(sessions),
          position_(sessions.insert(sessions.end(), &active))
    {
    }

    ~session_registration()
    {
        sessions_.erase(position_);
    }

    session_registration(session_registration const&) = delete;
    session_registration& operator=(session_registration const&) = delete;

private:
    std::list<session*>& sessions_;
    std::list<session*>::iterator position_;
};

void start_read_timer(std::shared_ptr<session> const& active, duration limit)
{
    active->read_timer.expires_after(limit);
    active->read_timer.async_wait(
        [watched = std::weak_ptr(active)](beast::error_code error)
        {
            auto const late = watched.lock();
            // The read may have ended while this handler was queued.
            if (error || !late ||
                asio::steady_timer::clock_type::now() <
                    late->read_timer.expiry())
                return;
            late->read_timed_out = true;
            late->stream.cancel();
        });
}

/// Whether the client has closed or reset the connection, also if bytes of its
/// next request wait before the end.
bool has_ended(tcp::socket& socket)
{
    char byte = 0;
    beast::error_code error;
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (error)
        return error != asio::error::would_block;
    pollfd watched{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&watched, 1, 0) > 0;
}

/// Watches for the end of a connection while its request is handled. The watch
/// ends when bytes arrive, because they belong to the next request.
void watch_for_end(std::weak_ptr<session> const& watched,
                   std::weak_ptr<disconnect_notifier> const& caller)
{
    auto const active = watched.lock();
    if (!active)
        return;
    active->stream.socket().async_wait(
        tcp::socket::wait_read,
        [watched, caller](beast::error_code error)
        {
            auto const waiting = caller.lock();
            auto const read = watched.lock();
            if (error == asio::error::operation_aborted || !waiting || !read)
                return;
            if (has_ended(read->stream.socket()))
                waiting->notify_disconnected();
        });
}

failure failure_of(beast::error_code error)
{
    if (error == http::error::header_limit)
        return {result_code::header_too_large,
                "the request header is too large"};
    if (error == http::error::body_limit)
        return {result_code::body_too_large, "the request body is too large"};
    return {result_code::malformed_request, error.message()};
}

/// Whether the client ended the connection itself, so that no response is
/// needed.
bool closed_by_client(beast::error_code error)
{
    return error == http::error::end_of_stream ||
           error == http::error::partial_message || error == asio::error::eof ||
           error == asio::error::connection_reset ||
           error == asio::error::operation_aborted;
}

http_request take_request(request_parser& parser)
{
    auto message = parser.release();
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.fields = copy_fields(message);
    request.body = std::move(message.body());
    return request;
}

} // namespace

using response_message = http::response<http::string_body>;

/// Throws when the response is not valid HTTP.
response_message make_message(http_response response, unsigned version,
                              bool keep)
{
    response_message message;
    message.version(version);
    message.result(response.status);
    for (auto const& field : response.fields.list)
    {
        if (field.value.find_first_of("\r\n") != std::string::npos)
            throw std::invalid_argument(
                "a response header field contains a line break");
        message.set(field.name, field.value);
    }
    message.body() = std::move(response.body);
    message.keep_alive(keep);
    message.prepare_payload();
    return message;
}

bool asks_to_close(http_response const& response)
{
    return beast::iequals(response.fields["Connection"], "close");
}

class http_server::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::any_io_executor executor, http_server_limits limits,
         http_handler handler, error_response_factory make_error_response)
        : executor_(std::move(executor)),
          acceptor_(executor_),
          limits_(limits),
          handler_(std::move(handler)),
          make_error_response_(std::move(make_error_response))
    {
    }

    outcome<void> listen(std::string const& ip, std::uint16_t port)
    {
        beast::error_code error;
        auto const address = asio::ip::make_address(ip, error);
        if (!error)
            open(tcp::endpoint(address, port), error);
        if (error)
        {
            return failure{result_code::bind_failed,
                           ip + ":" + std::to_string(port) + ": " +
                               error.message()};
        }
        asio::co_spawn(executor_, accept(shared_from_this()), asio::detached);
        return {};
    }

    std::uint16_t port() const
    {
        beast::error_code error;
        return acceptor_.local_endpoint(error).port();
    }

    unsigned connections() const
    {
        return static_cast<unsigned>(sessions_.size());
    }

    void close_gracefully()
    {
        if (std::exchange(closing_, true))
            return;
        accept_backlog();
        beast::error_code ignored;
        acceptor_.close(ignored);
        for (auto* const active : sessions_)
        {
            if (active->idle)
                active->stream.cancel();
        }
    }

    void stop()
    {
        close_gracefully();
        for (auto* const active : sessions_)
            active->stream.close();
    }

private:
    void open(tcp::endpoint const& address, beast::error_code& error)
    {
        acceptor_.open(address.protocol(), error);
        if (!error)
            acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
        if (!error)
            acceptor_.bind(address, error);
        if (!error)
            acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }

    static asio::awaitable<void> accept(std::shared_ptr<impl> self)
    {
        while (self->acceptor_.is_open())
        {
            auto [error, socket] = co_await self->acceptor_.async_accept(
                self->executor_, as_values);
            if (error == asio::error::operation_aborted)
                co_return;
            if (error)
            {
                // Most likely no file descriptor is free; tries again after a
                // pause.
                asio::steady_timer pause(self->executor_, milliseconds(10));
                co_await pause.async_wait(as_values);
                continue;
            }
            self->start_session(std::move(socket));
        }
    }

    void start_session(tcp::socket socket)
    {
        beast::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        asio::co_spawn(executor_, serve(shared_from_this(), std::move(socket)),
                       asio::detached);
    }

    /// Accepts the connections that wait in the backlog of the listening
    /// socket: closing the acceptor would reset them.
    void accept_backlog()
    {
        beast::error_code error;
        acceptor_.non_blocking(true, error);
        while (!error)
        {
            tcp::socket socket(executor_);
            acceptor_.accept(socket, error);
            if (!error)
                start_session(std::move(socket));
        }
    }

    static asio::awaitable<void> serve(std::shared_ptr<impl> self,
                                       tcp::socket socket)
    {
        auto const owned = std::make_shared<session>(std::move(socket));
        session& active = *owned;
        if (self->sessions_.size() >= self->limits_.max_connections)
        {
            failure const full{result_code::too_many_connections,
                               "the connection limit of the server is reached"};
            co_await self->refuse(active, full);
            co_return;
        }
        session_registration const listed(self->sessions_, active);
        bool keep = true;
        while (keep)
            keep = co_await self->serve_one(owned);
        beast::error_code ignored;
        active.stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    }

    /// Serves the next request. False: the connection ends.
    asio::awaitable<bool> serve_one(std::shared_ptr<session> owned)
    {
        session& active = *owned;
        if (active.buffer.size() == 0 && !co_await wait_for_request(active))
            co_return false;
        request_parser parser;
        start_read_timer(owned, limits_.request_read);
        auto const error = co_await read(active, parser);
        active.read_timer.expires_at(asio::steady_timer::time_point::max());
        if (active.read_timed_out)
        {
            failure const late{result_code::request_timeout,
                               "the request did not arrive completely in time"};
            co_await refuse(active, late);
            co_return false;
        }
        if (error)
        {
            if (!closed_by_client(error))
                co_await refuse(active, failure_of(error));
            co_return false;
        }
        bool const keep_alive = parser.keep_alive();
        unsigned const version = parser.get().version();
        auto request = take_request(parser);
        std::shared_ptr<disconnect_notifier> caller;
        auto const watch = [watched = std::weak_ptr(owned), &caller]
        {
            watch_for_end(watched, caller);
        };
        auto const ask = [watched = std::weak_ptr(owned)]
        {
            auto const asked = watched.lock();
            return asked && has_ended(asked->stream.socket());
        };
        caller = std::make_shared<disconnect_notifier>(watch, ask);
        request.caller = caller;
        auto response = co_await answer(std::move(request));
        if (caller->watched())
            active.stream.cancel();
        caller->end();
        if (!response)
            co_return false;
        bool const keep = keep_alive && !closing_ && !asks_to_close(*response);
        if (!co_await write(active, std::move(*response), version, keep))
            co_return false;
        co_return keep;
    }

    /// Calls the handler. If it throws, responds with an error and closes the
    /// connection.
    asio::awaitable<std::optional<http_response>> answer(http_request request)
    {
        try
        {
            co_return co_await handler_(std::move(request));
        }
        catch (std::exception const& error)
        {
            failure const fault{result_code::internal, error.what()};
            auto response = make_error_response_(fault);
            response.fields.set("Connection", "close");
            co_return response;
        }
    }

    asio::awaitable<bool> wait_for_request(session& active)
    {
        active.stream.expires_after(closing_ ? linger : limits_.idle);
        active.idle = true;
        auto [error, size] = co_await active.stream.async_read_some(
            active.buffer.prepare(read_chunk_bytes), as_values);
        active.idle = false;
        active.buffer.commit(size);
        if (!error)
            co_return true;
        // A request may have arrived while `close_gracefully` cancelled the
        // read.
        beast::error_code ignored;
        co_return closing_&& active.stream.socket().available(ignored) > 0;
    }

    asio::awaitable<beast::error_code> read(session& active,
                                            request_parser& parser)
    {
        parser.header_limit(
            static_cast<std::uint32_t>(limits_.max_header_bytes));
        parser.body_limit(limits_.max_body_bytes);
        active.stream.expires_never();
        auto [header_error, header_size] = co_await http::async_read_header(
            active.stream, active.buffer, parser, as_values);
        if (header_error || parser.is_done())
            co_return header_error;
        if (beast::iequals(parser.get()[http::field::expect], "100-continue"))
            co_await send_continue(active);
        auto [body_error, body_size] = co_await http::async_read(
            active.stream, active.buffer, parser, as_values);
        co_return body_error;
    }

    asio::awaitable<void> send_continue(session& active)
    {
        http::response<http::empty_body> proceed(http::status::continue_, 11);
        co_await http::async_write(active.stream, proceed, as_values);
    }

    asio::awaitable<bool> write(session& active, http_response response,
                                unsigned version, bool keep)
    {
        auto message = make_valid_message(std::move(response), version, keep);
        active.stream.expires_after(limits_.write);
        auto [error, size] =
            co_await http::async_write(active.stream, message, as_values);
        co_return !error;
    }

    response_message make_valid_message(http_response response,
                                        unsigned version, bool keep)
    {
        try
        {
            return make_message(std::move(response), version, keep);
        }
        catch (std::exception const& error)
        {
            failure const fault{result_code::internal, error.what()};
            return make_message(make_error_response_(fault), version, keep);
        }
    }

    /// Responds with an error, then reads and discards input for a short time:
    /// closing a socket with unread bytes resets the connection, and the client
    /// may lose the response.
    asio::awaitable<void> refuse(session& active, failure error)
    {
        auto response = make_error_response_(error);
        constexpr unsigned http_1_1 = 11;
        if (!co_await write(active, std::move(response), http_1_1, false))
            co_return;
        beast::error_code ignored;
        active.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        active.stream.expires_after(linger);
        std::array<char, read_chunk_bytes> discarded{};
        while (true)
        {
            auto [read_error, size] = co_await active.stream.async_read_some(
                asio::buffer(discarded), as_values);
            if (read_error)
                co_return;
        }
    }

    asio::any_io_executor executor_;
    tcp::acceptor acceptor_;
    http_server_limits limits_;
    http_handler handler_;
    error_response_factory make_error_response_;
    std::list<session*> sessions_;
    bool closing_ = false;
};

http_server::http_server(asio::any_io_executor executor,
                         http_server_limits limits, http_handler handler,
                         error_response_factory make_error_response)
    : impl_(std::make_shared<impl>(std::move(executor), limits,
                                   std::move(handler),
                                   std::move(make_error_response)))
{
}

http_server::~http_server()
{
    impl_->stop();
}

outcome<void> http_server::listen(std::string const& ip, std::uint16_t port)
{
    return impl_->listen(ip, port);
}

std::uint16_t http_server::port() const
{
    return impl_->port();
}

unsigned http_server::connections() const
{
    return impl_->connections();
}

void http_server::close_gracefully()
{
    impl_->close_gracefully();
}

void http_server::stop()
{
    impl_->stop();
}

} // namespace masticshift::transport
