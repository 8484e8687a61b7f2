#ifndef MASTICSHIFT_STORE_TIMER_WAIT_HPP
#define MASTICSHIFT_STORE_TIMER_WAIT_HPP

#include <core/time.hpp>

#include <boost/asio/awaitable.hpp>

namespace masticshift::store
{

/// A `waiter` that suspends the coroutine on a timer of its executor.
struct timer_wait
{
    boost::asio::awaitable<void> operator()(milliseconds length) const;
};

} // namespace masticshift::store

#endif
