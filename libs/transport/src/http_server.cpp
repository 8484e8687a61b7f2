#include <transport/http_server.hpp>

#include "beast_types.hpp"

#include <list>
#include <stdexcept>

namespace masticshift::transport
{

namespace
{

using request_parser = http::request_parser<http::string_body>;

constexpr std::size_t read_chunk_bytes = 4'096;

/// How long a refused client is read from, so that it gets its answer before
/// the connection ends. Also the time for a request once the server closes.
constexpr milliseconds linger{500};

struct session
{
    explicit session(tcp::socket socket)
        : stream(std::move(socket)), read_timer(stream.get_executor())
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    /// Ends a read that takes too long. Beast's own expiry would close the
    /// socket, and the client would get no answer.
    asio::steady_timer read_timer;
    bool read_timed_out = false;
    /// Waits for the first byte of a request.
    bool idle = false;
};

/// Lists a session for as long as it is served.
class session_entry
{
public:
    session_entry(std::list<session*>& sessions, session& open)
        : sessions_(sessions), place_(sessions.insert(sessions.end(), &open))
    {
    }

    ~session_entry()
    {
        sessions_.erase(place_);
    }

    session_entry(session_entry const&) = delete;
    session_entry& operator=(session_entry const&) = delete;

private:
    std::list<session*>& sessions_;
    std::list<session*>::iterator place_;
};

void start_read_timer(std::shared_ptr<session> const& open, duration limit)
{
    open->read_timer.expires_after(limit);
    open->read_timer.async_wait(
        [watched = std::weak_ptr(open)](beast::error_code error)
        {
            auto const late = watched.lock();
            // The read may have ended while this handler was queued.
            if (error || !late ||
                steady_clock::now() < late->read_timer.expiry())
                return;
            late->read_timed_out = true;
            late->stream.cancel();
        });
}

/// Watches for the end of a connection while its request is handled. Bytes
/// that arrive belong to the next request and end the watch.
void watch_for_end(std::weak_ptr<session> const& watched,
                   std::weak_ptr<caller_presence> const& caller)
{
    auto const open = watched.lock();
    if (!open)
        return;
    open->stream.socket().async_wait(
        tcp::socket::wait_read,
        [watched, caller](beast::error_code error)
        {
            auto const waiting = caller.lock();
            auto const read = watched.lock();
            if (error == asio::error::operation_aborted || !waiting || !read)
                return;
            char byte = 0;
            beast::error_code peeked;
            auto& socket = read->stream.socket();
            socket.non_blocking(true, peeked);
            socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                           peeked);
            if (peeked && peeked != asio::error::would_block)
                waiting->note_gone();
        });
}

failure failure_of(beast::error_code error)
{
    if (error == http::error::header_limit)
        return {result_code::header_too_large, "the header is too large"};
    if (error == http::error::body_limit)
        return {result_code::body_too_large, "the body is too large"};
    return {result_code::malformed_request, error.message()};
}

/// Whether the client ended the connection itself, so that no answer is due.
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

/// Throws when the response can't be written as HTTP.
response_message make_message(http_response response, unsigned version,
                              bool keep)
{
    response_message message;
    message.version(version);
    message.result(response.status);
    for (auto const& field : response.fields.list)
    {
        if (field.value.find_first_of("\r\n") != std::string::npos)
            throw std::invalid_argument("a header field has a line break");
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
         http_handler handler, http_error_answer error_answer)
        : executor_(std::move(executor)),
          acceptor_(executor_),
          limits_(limits),
          handler_(std::move(handler)),
          error_answer_(std::move(error_answer))
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
        accept_waiting();
        beast::error_code ignored;
        acceptor_.close(ignored);
        for (auto* const open : sessions_)
        {
            if (open->idle)
                open->stream.cancel();
        }
    }

    void stop()
    {
        close_gracefully();
        for (auto* const open : sessions_)
            open->stream.close();
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
                // Out of descriptors, most likely: wait for one to be freed.
                asio::steady_timer pause(self->executor_, milliseconds(10));
                co_await pause.async_wait(as_values);
                continue;
            }
            self->begin(std::move(socket));
        }
    }

    void begin(tcp::socket socket)
    {
        beast::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        asio::co_spawn(executor_, serve(shared_from_this(), std::move(socket)),
                       asio::detached);
    }

    /// Takes the connections that clients have already made: closing the
    /// acceptor would reset them.
    void accept_waiting()
    {
        beast::error_code error;
        acceptor_.non_blocking(true, error);
        while (!error)
        {
            tcp::socket socket(executor_);
            acceptor_.accept(socket, error);
            if (!error)
                begin(std::move(socket));
        }
    }

    static asio::awaitable<void> serve(std::shared_ptr<impl> self,
                                       tcp::socket socket)
    {
        auto const owned = std::make_shared<session>(std::move(socket));
        session& open = *owned;
        if (self->sessions_.size() >= self->limits_.max_connections)
        {
            failure const full{result_code::too_many_connections,
                               "all connections are in use"};
            co_await self->refuse(open, full);
            co_return;
        }
        session_entry const listed(self->sessions_, open);
        bool keep = true;
        while (keep)
            keep = co_await self->serve_one(owned);
        beast::error_code ignored;
        open.stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    }

    /// Serves the next request. False: the connection ends.
    asio::awaitable<bool> serve_one(std::shared_ptr<session> owned)
    {
        session& open = *owned;
        if (open.buffer.size() == 0 && !co_await wait_for_request(open))
            co_return false;
        request_parser parser;
        start_read_timer(owned, limits_.request_read);
        auto const error = co_await read(open, parser);
        open.read_timer.expires_at(time_point::max());
        if (open.read_timed_out)
        {
            failure const late{result_code::request_timeout,
                               "the request did not arrive whole in time"};
            co_await refuse(open, late);
            co_return false;
        }
        if (error)
        {
            if (!closed_by_client(error))
                co_await refuse(open, failure_of(error));
            co_return false;
        }
        bool const keep_alive = parser.keep_alive();
        unsigned const version = parser.get().version();
        auto request = take_request(parser);
        std::shared_ptr<caller_presence> caller;
        auto const watch = [watched = std::weak_ptr(owned), &caller]
        {
            watch_for_end(watched, caller);
        };
        caller = std::make_shared<caller_presence>(watch);
        request.caller = caller;
        auto response = co_await answer(std::move(request));
        if (caller->watched())
            open.stream.cancel();
        caller->end();
        if (!response)
            co_return false;
        bool const keep = keep_alive && !closing_ && !asks_to_close(*response);
        if (!co_await write(open, std::move(*response), version, keep))
            co_return false;
        co_return keep;
    }

    /// What the handler answers, or an error when it throws.
    asio::awaitable<std::optional<http_response>> answer(http_request request)
    {
        try
        {
            co_return co_await handler_(std::move(request));
        }
        catch (std::exception const& error)
        {
            failure const fault{result_code::internal, error.what()};
            auto response = error_answer_(fault);
            response.fields.set("Connection", "close");
            co_return response;
        }
    }

    asio::awaitable<bool> wait_for_request(session& open)
    {
        open.stream.expires_after(closing_ ? linger : limits_.idle);
        open.idle = true;
        auto [error, size] = co_await open.stream.async_read_some(
            open.buffer.prepare(read_chunk_bytes), as_values);
        open.idle = false;
        open.buffer.commit(size);
        if (!error)
            co_return true;
        // A request may have arrived just as the server was told to close.
        beast::error_code ignored;
        co_return closing_&& open.stream.socket().available(ignored) > 0;
    }

    asio::awaitable<beast::error_code> read(session& open,
                                            request_parser& parser)
    {
        parser.header_limit(
            static_cast<std::uint32_t>(limits_.max_header_bytes));
        parser.body_limit(limits_.max_body_bytes);
        open.stream.expires_never();
        auto [header_error, header_size] = co_await http::async_read_header(
            open.stream, open.buffer, parser, as_values);
        if (header_error || parser.is_done())
            co_return header_error;
        if (beast::iequals(parser.get()[http::field::expect], "100-continue"))
            co_await send_continue(open);
        auto [body_error, body_size] = co_await http::async_read(
            open.stream, open.buffer, parser, as_values);
        co_return body_error;
    }

    asio::awaitable<void> send_continue(session& open)
    {
        http::response<http::empty_body> proceed(http::status::continue_, 11);
        co_await http::async_write(open.stream, proceed, as_values);
    }

    asio::awaitable<bool> write(session& open, http_response response,
                                unsigned version, bool keep)
    {
        auto message = make_valid_message(std::move(response), version, keep);
        open.stream.expires_after(limits_.write);
        auto [error, size] =
            co_await http::async_write(open.stream, message, as_values);
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
            return make_message(error_answer_(fault), version, keep);
        }
    }

    /// Answers with an error and reads on for a moment: closing a socket with
    /// unread bytes resets it, which can destroy the answer on its way.
    asio::awaitable<void> refuse(session& open, failure error)
    {
        auto answer = error_answer_(error);
        constexpr unsigned http_1_1 = 11;
        if (!co_await write(open, std::move(answer), http_1_1, false))
            co_return;
        beast::error_code ignored;
        open.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        open.stream.expires_after(linger);
        std::array<char, read_chunk_bytes> discarded{};
        while (true)
        {
            auto [read_error, size] = co_await open.stream.async_read_some(
                asio::buffer(discarded), as_values);
            if (read_error)
                co_return;
        }
    }

    asio::any_io_executor executor_;
    tcp::acceptor acceptor_;
    http_server_limits limits_;
    http_handler handler_;
    http_error_answer error_answer_;
    std::list<session*> sessions_;
    bool closing_ = false;
};

http_server::http_server(asio::any_io_executor executor,
                         http_server_limits limits, http_handler handler,
                         http_error_answer error_answer)
    : impl_(std::make_shared<impl>(std::move(executor), limits,
                                   std::move(handler), std::move(error_answer)))
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
