#include <transport/http_client.hpp>
#include <transport/http_server.hpp>

#include <boost/asio.hpp>
#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::transport;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

constexpr auto loopback = "127.0.0.1";
/// Upper bound of one test.
constexpr milliseconds test_timeout{20'000};

/// A named object, because this compiler destroys an unnamed `{}` argument of
/// an awaited call twice.
http_request const plain;

http_response make_error_response(failure const& error)
{
    http_response answer;
    answer.status = info_of(error.code).http_status;
    answer.body = name_of(error.code);
    return answer;
}

asio::awaitable<std::optional<http_response>> echo(http_request request)
{
    http_response answer;
    answer.body = request.method + " " + request.target + " " + request.body;
    co_return answer;
}

asio::awaitable<std::optional<http_response>> close_unanswered(http_request)
{
    co_return std::nullopt;
}

struct fixture
{
    asio::io_context context;
    http_server_limits limits;

    template <class Body>
    void run(Body body)
    {
        std::exception_ptr problem;
        asio::co_spawn(context, body,
                       [&](std::exception_ptr thrown)
                       {
                           problem = std::move(thrown);
                           context.stop();
                       });
        context.run_for(test_timeout);
        if (problem)
            std::rethrow_exception(problem);
    }

    asio::awaitable<call_result> call(http_client& client, std::uint16_t port,
                                      http_request request)
    {
        return client.call(loopback, port, std::move(request),
                           steady_clock::now() + test_timeout);
    }
};

/// Sends raw bytes and reads until the server closes the connection.
asio::awaitable<std::string> send_raw(std::uint16_t port, std::string bytes)
{
    tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect({asio::ip::make_address(loopback), port},
                                  asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer(bytes),
                               asio::use_awaitable);
    std::string received;
    co_await asio::async_read(socket, asio::dynamic_buffer(received),
                              asio::as_tuple(asio::use_awaitable));
    co_return received;
}

} // namespace

TEST_CASE("a request is answered and its connection is reused")
{
    fixture f;
    http_server server(f.context.get_executor(), f.limits, echo,
                       make_error_response);
    REQUIRE(server.listen(loopback, 0));
    http_client client(f.context.get_executor(), {});
    f.run(
        [&]() -> asio::awaitable<void>
        {
            for (int i = 0; i < 3; ++i)
            {
                http_request request;
                request.method = "POST";
                request.target = "/a";
                request.body = std::to_string(i);
                auto const result =
                    co_await f.call(client, server.port(), request);
                REQUIRE(result.has_value());
                CHECK(result->body == "POST /a " + std::to_string(i));
            }
            CHECK(server.connections() == 1);
            CHECK(client.connections(loopback, server.port()) == 1);
        });
}

TEST_CASE("a refused connection is distinguished from a lost response")
{
    fixture f;
    http_server server(f.context.get_executor(), f.limits, close_unanswered,
                       make_error_response);
    REQUIRE(server.listen(loopback, 0));
    auto const port = server.port();
    http_client client(f.context.get_executor(), {});
    f.run(
        [&]() -> asio::awaitable<void>
        {
            auto const lost = co_await f.call(client, port, plain);
            REQUIRE_FALSE(lost.has_value());
            CHECK(lost.error().stage == call_stage::written);
            server.stop();
            auto const refused = co_await f.call(client, port, plain);
            REQUIRE_FALSE(refused.has_value());
            CHECK(refused.error().stage == call_stage::not_connected);
            CHECK(refused.error().error.code == result_code::peer_unreachable);
        });
}

TEST_CASE("a call cancelled before sending or past its deadline is not written")
{
    fixture f;
    int served = 0;
    auto const count = [&](http_request request)
    {
        ++served;
        return echo(std::move(request));
    };
    http_server server(f.context.get_executor(), f.limits, count,
                       make_error_response);
    REQUIRE(server.listen(loopback, 0));
    http_client client(f.context.get_executor(), {});
    f.run(
        [&]() -> asio::awaitable<void>
        {
            call_checks cancelled;
            cancelled.may_send = [](time_point)
            {
                return false;
            };
            auto const result = co_await client.call(
                loopback, server.port(), plain,
                steady_clock::now() + test_timeout, cancelled);
            REQUIRE_FALSE(result.has_value());
            CHECK(result.error().stage == call_stage::not_written);
            auto const late = co_await client.call(loopback, server.port(),
                                                   plain, steady_clock::now());
            REQUIRE_FALSE(late.has_value());
            CHECK(late.error().stage != call_stage::written);
        });
    CHECK(served == 0);
}

TEST_CASE(
    "bad requests are answered with result codes; other requests still work")
{
    fixture f;
    f.limits.max_body_bytes = 100;
    f.limits.max_header_bytes = 1'000;
    f.limits.request_read = milliseconds(200);
    http_server server(f.context.get_executor(), f.limits, echo,
                       make_error_response);
    REQUIRE(server.listen(loopback, 0));
    http_client client(f.context.get_executor(), {});
    f.run(
        [&]() -> asio::awaitable<void>
        {
            auto const port = server.port();
            auto answer = co_await send_raw(port, "nonsense\r\n\r\n");
            CHECK(answer.find("malformed_request") != std::string::npos);
            answer = co_await send_raw(
                port, "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n" +
                          std::string(101, 'x'));
            CHECK(answer.find("body_too_large") != std::string::npos);
            answer = co_await send_raw(port, "GET / HTTP/1.1\r\nA: " +
                                                 std::string(2'000, 'x'));
            CHECK(answer.find("header_too_large") != std::string::npos);
            answer = co_await send_raw(
                port, "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
            CHECK(answer.find("request_timeout") != std::string::npos);
            auto const good = co_await f.call(client, port, plain);
            CHECK(good.has_value());
        });
}

TEST_CASE("connections above the limit are refused with a result code")
{
    fixture f;
    f.limits.max_connections = 1;
    http_server server(f.context.get_executor(), f.limits, echo,
                       make_error_response);
    REQUIRE(server.listen(loopback, 0));
    http_client client(f.context.get_executor(), {});
    f.run(
        [&]() -> asio::awaitable<void>
        {
            auto const first = co_await f.call(client, server.port(), plain);
            CHECK(first.has_value());
            auto const answer =
                co_await send_raw(server.port(), "GET / HTTP/1.1\r\n\r\n");
            CHECK(answer.find("too_many_connections") != std::string::npos);
        });
}

TEST_CASE("a graceful close answers the requests that are being handled")
{
    fixture f;
    http_server* running = nullptr;
    auto const closing = [&](http_request request)
        -> asio::awaitable<std::optional<http_response>>
    {
        running->close_gracefully();
        co_return co_await echo(std::move(request));
    };
    http_server server(f.context.get_executor(), f.limits, closing,
                       make_error_response);
    running = &server;
    REQUIRE(server.listen(loopback, 0));
    http_client client(f.context.get_executor(), {});
    f.run(
        [&]() -> asio::awaitable<void>
        {
            auto const port = server.port();
            auto const answered = co_await f.call(client, port, plain);
            REQUIRE(answered.has_value());
            CHECK(answered->fields["Connection"] == "close");
            auto const refused = co_await f.call(client, port, plain);
            CHECK_FALSE(refused.has_value());
        });
}

TEST_CASE("calls above the connection limit of an address are not written")
{
    fixture f;
    int served = 0;
    http_client* nested = nullptr;
    std::uint16_t port = 0;
    call_result inner = call_failure{};
    auto const call_again = [&](http_request request)
        -> asio::awaitable<std::optional<http_response>>
    {
        if (++served == 1)
            inner = co_await f.call(*nested, port, plain);
        co_return co_await echo(std::move(request));
    };
    http_server server(f.context.get_executor(), f.limits, call_again,
                       make_error_response);
    REQUIRE(server.listen(loopback, 0));
    port = server.port();
    http_client client(f.context.get_executor(), {});
    nested = &client;
    client.set_max_connections(loopback, port, 1);
    f.run(
        [&]() -> asio::awaitable<void>
        {
            auto const outer = co_await f.call(client, port, plain);
            CHECK(outer.has_value());
            REQUIRE_FALSE(inner.has_value());
            CHECK(inner.error().stage == call_stage::not_connected);
            CHECK(inner.error().error.code ==
                  result_code::too_many_connections);
            CHECK(served == 1);
        });
}

TEST_CASE(
    "a handler that throws yields an error response and closes the connection")
{
    fixture f;
    auto const fail =
        [](http_request) -> asio::awaitable<std::optional<http_response>>
    {
        throw std::runtime_error("fault");
        co_return std::nullopt;
    };
    http_server server(f.context.get_executor(), f.limits, fail,
                       make_error_response);
    REQUIRE(server.listen(loopback, 0));
    http_client client(f.context.get_executor(), {});
    f.run(
        [&]() -> asio::awaitable<void>
        {
            auto const answer = co_await f.call(client, server.port(), plain);
            REQUIRE(answer.has_value());
            CHECK(answer->body == "internal");
            while (server.connections() > 0)
                co_await asio::post(f.context, asio::use_awaitable);
        });
    CHECK(server.connections() == 0);
}

TEST_CASE("a response that is not valid HTTP is replaced by an error response")
{
    fixture f;
    auto const bad_status =
        [](http_request) -> asio::awaitable<std::optional<http_response>>
    {
        http_response answer;
        answer.status = 1'000;
        co_return answer;
    };
    http_server server(f.context.get_executor(), f.limits, bad_status,
                       make_error_response);
    REQUIRE(server.listen(loopback, 0));
    http_client client(f.context.get_executor(), {});
    f.run(
        [&]() -> asio::awaitable<void>
        {
            auto const answer = co_await f.call(client, server.port(), plain);
            REQUIRE(answer.has_value());
            CHECK(answer->body == "internal");
        });
}

TEST_CASE("a graceful close ends idle connections")
{
    fixture f;
    http_server server(f.context.get_executor(), f.limits, echo,
                       make_error_response);
    REQUIRE(server.listen(loopback, 0));
    http_client client(f.context.get_executor(), {});
    f.run(
        [&]() -> asio::awaitable<void>
        {
            auto const answer = co_await f.call(client, server.port(), plain);
            CHECK(answer.has_value());
            CHECK(server.connections() == 1);
            server.close_gracefully();
            while (server.connections() > 0)
                co_await asio::post(f.context, asio::use_awaitable);
        });
    CHECK(server.connections() == 0);
}
