#ifndef MASTICSHIFT_GATEWAY_ASIO_TYPES_HPP
#define MASTICSHIFT_GATEWAY_ASIO_TYPES_HPP

#include <core/time.hpp>

#include <boost/asio.hpp>

namespace masticshift::gateway
{

namespace asio = boost::asio;

/// Completes a coroutine's operation with its error code as a value.
constexpr auto as_values = asio::as_tuple(asio::use_awaitable);

/// Waits. Ends early when the coroutine is cancelled.
inline asio::awaitable<void> pause(duration length)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, length);
    co_await timer.async_wait(as_values);
}

} // namespace masticshift::gateway

#endif
