#include <daemon/supervisor.hpp>

#include <core/time.hpp>

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <stdexcept>

using namespace masticshift;
using namespace masticshift::daemon;

namespace
{

namespace asio = boost::asio;

constexpr milliseconds wait_timeout{20'000};

} // namespace

TEST_CASE("a loop that throws or returns is restarted, and others keep running")
{
    asio::io_context context;
    supervisor root(context.get_executor(), "root");
    int failing_runs = 0;
    int steady_runs = 0;
    asio::steady_timer forever(context, asio::steady_timer::time_point::max());
    auto& below = root.add_supervisor("below");
    below.add("failing",
              [&]() -> asio::awaitable<void>
              {
                  if (++failing_runs == 3)
                      context.stop();
                  if (failing_runs == 1)
                      throw std::runtime_error("fault");
                  co_return;
              });
    below.add("steady",
              [&]() -> asio::awaitable<void>
              {
                  ++steady_runs;
                  co_await forever.async_wait(asio::use_awaitable);
              });
    context.run_for(wait_timeout);
    CHECK(failing_runs == 3);
    CHECK(steady_runs == 1);
    auto const status = root.status();
    REQUIRE(status.size() == 2);
    CHECK(status[0].path == "root/below/failing");
    CHECK(status[0].restarts == 2);
    CHECK(status[1].running);
    CHECK(status[1].restarts == 0);
}

TEST_CASE("a stop ends loops and cancels pending restarts")
{
    asio::io_context context;
    supervisor root(context.get_executor(), "root");
    int waiting_runs = 0;
    int failing_runs = 0;
    asio::steady_timer forever(context, asio::steady_timer::time_point::max());
    root.add("waiting",
             [&]() -> asio::awaitable<void>
             {
                 ++waiting_runs;
                 co_await forever.async_wait(asio::use_awaitable);
             });
    root.add("failing",
             [&]() -> asio::awaitable<void>
             {
                 ++failing_runs;
                 co_return;
             });
    asio::post(context,
               [&]
               {
                   root.stop();
               });
    // No work is left, so this returns before the timeout.
    context.run_for(wait_timeout);
    CHECK(context.stopped());
    CHECK(waiting_runs == 1);
    CHECK(failing_runs == 1);
    for (auto const& child : root.status())
        CHECK_FALSE(child.running);
}
