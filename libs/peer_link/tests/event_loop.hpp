#ifndef MASTICSHIFT_PEER_LINK_TESTS_EVENT_LOOP_HPP
#define MASTICSHIFT_PEER_LINK_TESTS_EVENT_LOOP_HPP

#include <core/time.hpp>
#include <peer_link/message_kind.hpp>
#include <peer_link/peer_client.hpp>
#include <peer_link/peer_server.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <doctest/doctest.h>

#include <utility>

namespace masticshift::peer_link::test
{

namespace asio = boost::asio;

constexpr char const* loopback = "127.0.0.1";

/// Much longer than any test takes; only a test that hangs reaches it.
constexpr milliseconds hang_limit{30'000};

inline time_point far_deadline()
{
    return steady_clock::now() + hang_limit;
}

inline asio::awaitable<void> pause(milliseconds length)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, length);
    co_await timer.async_wait(asio::use_awaitable);
}

/// Waits until a condition holds.
template <class Condition>
asio::awaitable<void> until(Condition condition)
{
    auto const limit = far_deadline();
    while (!condition() && steady_clock::now() < limit)
        co_await pause(milliseconds{1});
    REQUIRE(condition());
}

/// Runs one coroutine to its end.
inline void run_to_end(asio::io_context& context, asio::awaitable<void> body)
{
    bool ended = false;
    asio::co_spawn(context, std::move(body),
                   [&ended](std::exception_ptr const& error)
                   {
                       ended = true;
                       if (error)
                           std::rethrow_exception(error);
                   });
    auto const limit = far_deadline() + hang_limit;
    while (!ended && steady_clock::now() < limit)
        context.run_one_for(hang_limit);
    REQUIRE(ended);
}

inline wire::message text_call()
{
    return make_message(wire::fetch_text{});
}

inline wire::message text_answer(std::int64_t revision)
{
    wire::fetch_text_reply reply;
    reply.revision = revision;
    return make_message(std::move(reply));
}

inline wire::message forward_call(std::string id)
{
    wire::forward forward;
    forward.id = std::move(id);
    return make_message(std::move(forward));
}

} // namespace masticshift::peer_link::test

#endif
