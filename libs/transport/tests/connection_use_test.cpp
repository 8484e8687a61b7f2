// How calls share and keep the connections to an address.

#include <transport/http_client.hpp>
#include <transport/http_server.hpp>

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace masticshift;
using namespace masticshift::transport;
namespace asio = boost::asio;

namespace
{

constexpr auto loopback = "127.0.0.1";
constexpr milliseconds test_timeout{20'000};
constexpr milliseconds long_time{10'000};

http_response make_error_response(failure const& error)
{
    http_response answer;
    answer.status = info_of(error.code).http_status;
    return answer;
}

/// A server that responds after `delay`, and a client that counts its new
/// connections.
struct delayed_server
{
    delayed_server()
        : server(
              context.get_executor(), {},
              [this](http_request const&)
              {
                  return answer();
              },
              make_error_response),
          client(context.get_executor(), {})
    {
        REQUIRE(server.listen(loopback, 0));
        client.on_connect(
            [this](connection_cause cause, bool connected)
            {
                ++(connected ? made : failed)[cause];
            });
    }

    ~delayed_server()
    {
        server.stop();
    }

    asio::awaitable<std::optional<http_response>> answer()
    {
        asio::steady_timer timer(context, delay);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        http_response response;
        response.body = "7";
        co_return response;
    }

    /// Begins a call, whose result is appended to `results`.
    void begin(connection_use use, milliseconds timeout,
               std::int64_t required = 0)
    {
        call_checks checks;
        checks.connections = use;
        checks.required_server = required;
        checks.identify_server = [](http_response const& response)
        {
            return std::stoll(response.body);
        };
        asio::co_spawn(context, call(std::move(checks), timeout),
                       asio::detached);
    }

    asio::awaitable<void> call(call_checks checks, milliseconds timeout)
    {
        http_request request;
        results.push_back(co_await client.call(
            loopback, server.port(), std::move(request),
            steady_clock::now() + timeout, std::move(checks)));
    }

    bool run_until(std::function<bool()> const& condition)
    {
        auto const end = steady_clock::now() + test_timeout;
        while (!condition() && steady_clock::now() < end)
        {
            context.restart();
            context.run_for(milliseconds(5));
        }
        return condition();
    }

    bool run_until_results(std::size_t count)
    {
        return run_until(
            [&]
            {
                return results.size() >= count;
            });
    }

    unsigned open() const
    {
        return client.connections(loopback, server.port());
    }

    asio::io_context context;
    milliseconds delay{0};
    http_server server;
    http_client client;
    std::map<connection_cause, int> made;
    std::map<connection_cause, int> failed;
    std::vector<call_result> results;
};

using causes = std::map<connection_cause, int>;

} // namespace

// Each of the starts that were ordered at once made a connection of its own.
TEST_CASE("calls that may wait for a connection share one")
{
    delayed_server f;
    connection_use use;
    use.wait = long_time;
    for (int i = 0; i < 16; ++i)
        f.begin(use, test_timeout);
    REQUIRE(f.run_until_results(16));
    for (auto const& result : f.results)
        CHECK(result.has_value());
    CHECK(f.made == causes{{connection_cause::first, 1}});
}

TEST_CASE("a call that may wait does not wait for one that holds its "
          "connection")
{
    delayed_server f;
    f.delay = milliseconds(300);
    connection_use holding;
    holding.holds = true;
    f.begin(holding, test_timeout);
    f.run_until(
        [&]
        {
            return f.made.size() == 1;
        });
    connection_use use;
    use.wait = long_time;
    use.unproven = long_time;
    f.begin(use, test_timeout);
    REQUIRE(f.run_until_results(2));
    CHECK(f.made == causes{{connection_cause::first, 1},
                           {connection_cause::parallel, 1}});
}

// A server that accepts connections and never responds got one for each call.
TEST_CASE("while the newest connection has carried no response no other one is "
          "made")
{
    delayed_server f;
    f.delay = long_time;
    connection_use use;
    use.unproven = long_time;
    for (int i = 0; i < 5; ++i)
        f.begin(use, milliseconds(100));
    REQUIRE(f.run_until_results(5));
    CHECK(f.made == causes{{connection_cause::first, 1}});
    int not_tried = 0;
    for (auto const& result : f.results)
    {
        REQUIRE(!result);
        not_tried += result.error().stage == call_stage::not_connected &&
                             result.error().error.code == result_code::cancelled
                         ? 1
                         : 0;
    }
    CHECK(not_tried == 4);
}

TEST_CASE("after a refused connection others are made no sooner than allowed")
{
    delayed_server f;
    f.server.stop();
    connection_use use;
    use.refused = long_time;
    f.begin(use, test_timeout);
    REQUIRE(f.run_until_results(1));
    for (int i = 0; i < 5; ++i)
        f.begin(use, test_timeout);
    REQUIRE(f.run_until_results(6));
    CHECK(f.failed == causes{{connection_cause::first, 1}});
    f.begin({}, test_timeout);
    REQUIRE(f.run_until_results(7));
    CHECK(f.failed == causes{{connection_cause::first, 1},
                             {connection_cause::not_connected, 1}});
}

// Each response that came after the deadline cost a connection.
TEST_CASE("a connection whose response arrives late is used again, for the "
          "process that has responded")
{
    delayed_server f;
    f.delay = milliseconds(200);
    connection_use use;
    use.late_response = long_time;
    f.begin(use, milliseconds(20));
    REQUIRE(f.run_until_results(1));
    REQUIRE(!f.results[0]);
    CHECK(f.results[0].error().stage == call_stage::written);
    CHECK(f.results[0].error().error.code == result_code::deadline_passed);
    CHECK(f.open() == 1);
    f.delay = milliseconds(0);
    connection_use waiting;
    waiting.unproven = long_time;
    f.begin(waiting, test_timeout);
    REQUIRE(f.run_until_results(2));
    CHECK(f.results[1].has_value());
    constexpr std::int64_t process = 7;
    f.begin({}, test_timeout, process);
    REQUIRE(f.run_until_results(3));
    CHECK(f.results[2].has_value());
    CHECK(f.made == causes{{connection_cause::first, 1}});
}

TEST_CASE("a connection without a late response is closed, and few are kept")
{
    delayed_server f;
    f.delay = long_time;
    connection_use use;
    use.late_response = milliseconds(300);
    for (int i = 0; i < 10; ++i)
        f.begin(use, milliseconds(20));
    REQUIRE(f.run_until_results(10));
    CHECK(f.open() <= 8);
    CHECK(f.run_until(
        [&]
        {
            return f.open() == 0;
        }));
}
