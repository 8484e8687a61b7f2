// Calls that only a certain server process may get.

#include <transport/http_client.hpp>
#include <transport/http_server.hpp>

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <memory>
#include <string>

using namespace masticshift;
using namespace masticshift::transport;
namespace asio = boost::asio;

namespace
{

constexpr auto loopback = "127.0.0.1";
constexpr milliseconds test_timeout{20'000};

http_response make_error_response(failure const& error)
{
    http_response answer;
    answer.status = info_of(error.code).http_status;
    return answer;
}

/// Successive server processes at one address, and a client.
struct restartable_server
{
    restartable_server() : client(context.get_executor(), {})
    {
        restart();
    }

    ~restartable_server()
    {
        server->stop();
    }

    /// The connections end with the process.
    void restart()
    {
        if (server)
            server->stop();
        ++process;
        server = std::make_unique<http_server>(
            context.get_executor(), http_server_limits{},
            [this](http_request const&)
            {
                return answer();
            },
            make_error_response);
        REQUIRE(server->listen(loopback, port));
        port = server->port();
    }

    asio::awaitable<std::optional<http_response>> answer()
    {
        ++served;
        http_response response;
        response.body = std::to_string(process);
        co_return response;
    }

    asio::awaitable<call_result> call(call_checks checks)
    {
        http_request request;
        co_return co_await client.call(loopback, port, std::move(request),
                                       steady_clock::now() + test_timeout,
                                       std::move(checks));
    }

    asio::awaitable<call_result> identify()
    {
        call_checks checks;
        checks.identify_server = [](http_response const& response)
        {
            return std::stoll(response.body);
        };
        co_return co_await call(std::move(checks));
    }

    asio::awaitable<call_result> call_process(std::int64_t required)
    {
        call_checks checks;
        checks.required_server = required;
        co_return co_await call(std::move(checks));
    }

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

    asio::io_context context;
    std::unique_ptr<http_server> server;
    http_client client;
    std::uint16_t port = 0;
    std::int64_t process = 0;
    int served = 0;
};

bool is_unidentified(call_result const& result)
{
    return !result && result.error().stage == call_stage::unidentified;
}

} // namespace

TEST_CASE("a call for a server process is sent only over a connection that is "
          "known to lead to it")
{
    restartable_server f;
    f.run(
        [&]() -> asio::awaitable<void>
        {
            CHECK(is_unidentified(co_await f.call_process(1)));
            CHECK(f.served == 0);
            CHECK((co_await f.identify()).has_value());
            CHECK((co_await f.call_process(1)).has_value());
            CHECK(f.served == 2);
            CHECK(is_unidentified(co_await f.call_process(2)));
            CHECK(f.served == 2);
        });
}

TEST_CASE("a response that does not identify its process leaves the connection "
          "as it was")
{
    restartable_server f;
    f.run(
        [&]() -> asio::awaitable<void>
        {
            call_checks silent;
            silent.identify_server = [](http_response const&)
            {
                return std::int64_t{0};
            };
            CHECK((co_await f.call(silent)).has_value());
            CHECK(is_unidentified(co_await f.call_process(1)));
            CHECK((co_await f.identify()).has_value());
            CHECK((co_await f.call(silent)).has_value());
            CHECK((co_await f.call_process(1)).has_value());
            CHECK(f.client.connections(loopback, f.port) == 1);
        });
}

// The next process at the address got what was meant for the one before.
TEST_CASE("a call for a server process that has ended is not sent to the next "
          "one")
{
    restartable_server f;
    f.run(
        [&]() -> asio::awaitable<void>
        {
            CHECK((co_await f.identify()).has_value());
            f.restart();
            auto const served = f.served;
            // The end of the connection may not have been seen yet.
            auto const result = co_await f.call_process(1);
            CHECK_FALSE(result.has_value());
            CHECK(is_unidentified(co_await f.call_process(1)));
            CHECK(f.served == served);
            CHECK((co_await f.identify()).has_value());
            CHECK(is_unidentified(co_await f.call_process(1)));
            CHECK((co_await f.call_process(2)).has_value());
        });
}

// Two lost responses in a row closed also the connections that had answered
// meanwhile.
TEST_CASE("a connection that has carried a response since the given time stays "
          "open when the others are closed")
{
    restartable_server f;
    f.run(
        [&]() -> asio::awaitable<void>
        {
            CHECK((co_await f.identify()).has_value());
            auto const between = steady_clock::now();
            f.client.close_pooled(loopback, f.port, between);
            CHECK(f.client.connections(loopback, f.port) == 0);
            CHECK((co_await f.identify()).has_value());
            f.client.close_pooled(loopback, f.port, between);
            CHECK(f.client.connections(loopback, f.port) == 1);
        });
}
