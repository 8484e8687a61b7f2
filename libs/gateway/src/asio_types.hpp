#ifndef MASTICSHIFT_GATEWAY_ASIO_TYPES_HPP
#define MASTICSHIFT_GATEWAY_ASIO_TYPES_HPP

#include <core/time.hpp>

#include <boost/asio.hpp>

namespace masticshift::gateway
{

namespace asio = boost::asio;

/// Makes `co_await` return the error code as a value instead of throwing it.
constexpr auto as_values = asio::as_tuple(asio::use_awaitable);

/// Waits for this time, or until the coroutine is cancelled.
inline asio::awaitable<void> pause(duration length)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, length);
    co_await timer.async_wait(as_values);
}

} // namespace masticshift::gateway

#endif
