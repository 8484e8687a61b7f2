#include "standin_http.hpp"

#include <utility>

namespace review
{

http_listener::http_listener(asio::io_context& context, handler handle)
    : context_(context), acceptor_(context), handle_(std::move(handle))
{
}

void http_listener::listen(std::string const& ip, std::uint16_t port)
{
    tcp::endpoint const endpoint(asio::ip::make_address(ip), port);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    asio::co_spawn(context_, accept(*this), asio::detached);
}

std::uint16_t http_listener::port() const
{
    return acceptor_.local_endpoint().port();
}

asio::awaitable<void> http_listener::accept(http_listener& self)
{
    for (;;)
    {
        auto [error, socket] = co_await self.acceptor_.async_accept(as_values);
        if (error)
            co_return;
        asio::co_spawn(self.context_, serve(self, std::move(socket)),
                       asio::detached);
    }
}

asio::awaitable<void> http_listener::serve(http_listener& self,
                                           tcp::socket socket)
{
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    for (;;)
    {
        request message;
        auto [error, size] =
            co_await http::async_read(stream, buffer, message, as_values);
        if (error)
            co_return;
        auto answer = co_await self.handle_(message);
        if (!answer)
        {
            // The caller gets no response. Ends when it closes the connection.
            char byte = 0;
            co_await stream.async_read_some(asio::buffer(&byte, 1), as_values);
            co_return;
        }
        answer->keep_alive(message.keep_alive());
        answer->prepare_payload();
        auto [write_error, written] =
            co_await http::async_write(stream, *answer, as_values);
        if (write_error || !message.keep_alive())
            co_return;
    }
}

response make_response(unsigned status, json::value const& body)
{
    constexpr unsigned http_1_1 = 11;
    response made(static_cast<http::status>(status), http_1_1);
    made.set(http::field::content_type, "application/json");
    made.body() = json::serialize(body);
    return made;
}

std::string to_string(address const& of)
{
    return of.ip + ":" + std::to_string(of.port);
}

asio::awaitable<call_outcome> call(address to, request message,
                                   milliseconds timeout)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    auto [connect_error] = co_await stream.async_connect(
        tcp::endpoint(asio::ip::make_address(to.ip), to.port), as_values);
    if (connect_error)
        co_return call_outcome{0, {}, "connect: " + connect_error.message()};
    message.prepare_payload();
    auto [write_error, sent] =
        co_await http::async_write(stream, message, as_values);
    if (write_error)
        co_return call_outcome{0, {}, "write: " + write_error.message()};
    beast::flat_buffer buffer;
    response answer;
    auto [read_error, received] =
        co_await http::async_read(stream, buffer, answer, as_values);
    if (read_error)
        co_return call_outcome{0, {}, "read: " + read_error.message()};
    co_return call_outcome{answer.result_int(), answer.body(), {}};
}

std::uint16_t free_port(std::string const& ip)
{
    asio::io_context context;
    tcp::acceptor acceptor(context,
                           tcp::endpoint(asio::ip::make_address(ip), 0));
    return acceptor.local_endpoint().port();
}

asio::awaitable<void> wait(milliseconds length)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, length);
    co_await timer.async_wait(as_values);
}

} // namespace review
