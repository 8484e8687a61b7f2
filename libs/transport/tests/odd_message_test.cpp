// Calls with odd fields, and odd responses to calls: a call returns a response
// or a failure with a number, and never throws. A loop that calls endpoints
// ends with an exception, and nobody calls the endpoint again.

#include <transport/http_client.hpp>
#include <transport/http_server.hpp>

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

using namespace masticshift;
using namespace masticshift::transport;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

constexpr auto loopback = "127.0.0.1";
constexpr unsigned seed = 20261205;
constexpr milliseconds test_timeout{20'000};
constexpr milliseconds call_timeout{2'000};

/// Named, because this compiler destroys an unnamed `{}` argument of an awaited
/// call twice.
http_request const plain;

http_response make_error_response(failure const& error)
{
    http_response answer;
    answer.status = info_of(error.code).http_status;
    return answer;
}

template <class Body>
void run(asio::io_context& context, Body body)
{
    std::exception_ptr problem;
    bool ended = false;
    asio::co_spawn(context, body,
                   [&](std::exception_ptr thrown)
                   {
                       problem = std::move(thrown);
                       ended = true;
                       context.stop();
                   });
    context.run_for(test_timeout);
    CHECK(ended);
    if (problem)
        std::rethrow_exception(problem);
}

/// Accepts connections one after the other, reads something from each, sends
/// the next of `responses` and closes it.
asio::awaitable<void> respond(tcp::acceptor& acceptor,
                              std::vector<std::string> const& responses)
{
    for (auto const& response : responses)
    {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        std::array<char, 4'096> request{};
        co_await socket.async_read_some(asio::buffer(request),
                                        asio::use_awaitable);
        boost::system::error_code ignored;
        co_await asio::async_write(
            socket, asio::buffer(response),
            asio::redirect_error(asio::use_awaitable, ignored));
        socket.shutdown(tcp::socket::shutdown_send, ignored);
        // Until the client closes: a reset would discard the response.
        co_await socket.async_read_some(
            asio::buffer(request),
            asio::redirect_error(asio::use_awaitable, ignored));
    }
}

std::vector<std::string> odd_responses()
{
    std::string const ok = "HTTP/1.1 200 OK\r\n";
    std::vector<std::string> all{
        "",
        "\r\n\r\n",
        "nonsense\r\n\r\n",
        "HTTP/9.9 200 OK\r\n\r\n",
        "HTTP/1.1 0 X\r\n\r\n",
        "HTTP/1.1 99999999999 X\r\n\r\n",
        "HTTP/1.1 -200 X\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n",
        ok + "Content-Length: -1\r\n\r\n",
        ok + "Content-Length: 99999999999999999999\r\n\r\n",
        ok + "Content-Length: 1e9\r\n\r\n",
        ok + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
        ok + "Content-Length: 20000000\r\n\r\nx",
        ok + "Content-Length: 10\r\n\r\nhalf",
        ok + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
        ok + "Transfer-Encoding: chunked\r\n\r\n-1\r\n\r\n",
        ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nabcdef\r\n0\r\n\r\n",
        ok + "A: " + std::string(100'000, 'x') + "\r\n\r\n",
        ok + std::string("A\0: b\r\n\r\n", 9),
        ok + ": empty\r\n\r\n",
        ok + "Content-Length: 2\r\n\r\nhitoo much",
        std::string(1 << 20, '\xff')};
    std::mt19937 random{seed};
    std::string const valid = ok + "Content-Length: 5\r\nA: b\r\n\r\nhello";
    for (int i = 0; i < 200; ++i)
    {
        auto text = valid;
        for (int change = 0; change < 3; ++change)
            text[random() % text.size()] = static_cast<char>(random() % 256);
        all.push_back(std::move(text));
    }
    return all;
}

} // namespace

// An endpoint's id goes into a header field: a long one made the call throw,
// one with a line break added fields to the request.
TEST_CASE("a request that can't be a valid one fails without being written")
{
    asio::io_context context{1};
    int served = 0;
    auto const count =
        [&](http_request) -> asio::awaitable<std::optional<http_response>>
    {
        ++served;
        co_return http_response{};
    };
    http_server server(context.get_executor(), {}, count, make_error_response);
    REQUIRE(server.listen(loopback, 0));
    http_client client(context.get_executor(), {});
    std::vector<http_request> odd;
    for (auto const& value :
         {std::string(1 << 16, 'x'), std::string(1 << 20, 'x'),
          std::string("a\r\nX-Expect-Instance: b"), std::string("a\nb"),
          std::string("a\rb"), std::string("a\0b", 3)})
    {
        odd.emplace_back();
        odd.back().fields.set("X-Expect-Instance", value);
        odd.emplace_back();
        odd.back().fields.set(value, "x");
        odd.emplace_back();
        odd.back().target = "/" + value;
        odd.emplace_back();
        odd.back().method = value;
    }
    odd.emplace_back();
    odd.back().fields.set("", "x");
    odd.emplace_back();
    odd.back().target = "/a b";
    odd.emplace_back();
    odd.back().target = "";
    odd.emplace_back();
    odd.back().method = "";
    run(context,
        [&]() -> asio::awaitable<void>
        {
            for (auto const& request : odd)
            {
                auto const result =
                    co_await client.call(loopback, server.port(), request,
                                         steady_clock::now() + call_timeout);
                REQUIRE_FALSE(result.has_value());
                CHECK(result.error().stage != call_stage::written);
                CHECK(result.error().error.code != result_code::ok);
            }
            auto const good =
                co_await client.call(loopback, server.port(), plain,
                                     steady_clock::now() + call_timeout);
            CHECK(good.has_value());
        });
    CHECK(served == 1);
}

TEST_CASE("a call to an address that is not an IP address fails unsent")
{
    asio::io_context context{1};
    http_client client(context.get_executor(), {});
    run(context,
        [&]() -> asio::awaitable<void>
        {
            for (auto const* const ip : {"999.1.2.3", "host", "", "10.0.0",
                                         "10.0.0.9\r\nX: y", "[::1]"})
            {
                auto const result = co_await client.call(
                    ip, 80, plain, steady_clock::now() + call_timeout);
                REQUIRE_FALSE(result.has_value());
                CHECK(result.error().stage == call_stage::not_connected);
                CHECK(result.error().error.code == result_code::io_error);
            }
        });
}

TEST_CASE("any odd response gives a response or a failure after which the "
          "request may have been carried out")
{
    asio::io_context context{1};
    tcp::acceptor acceptor(
        context, {asio::ip::make_address(loopback), std::uint16_t(0)});
    auto const responses = odd_responses();
    asio::co_spawn(context, respond(acceptor, responses), asio::detached);
    http_client client(context.get_executor(), {});
    std::size_t failed = 0;
    run(context,
        [&]() -> asio::awaitable<void>
        {
            auto const port = acceptor.local_endpoint().port();
            for (std::size_t i = 0; i < responses.size(); ++i)
            {
                client.close_pooled(loopback, port, steady_clock::now());
                auto const result = co_await client.call(
                    loopback, port, plain, steady_clock::now() + call_timeout);
                if (result)
                    continue;
                ++failed;
                CHECK(result.error().stage == call_stage::written);
                CHECK(result.error().error.code != result_code::ok);
            }
        });
    CHECK(failed > 20);
}
