#include <store/timer_wait.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace masticshift::store
{

boost::asio::awaitable<void> timer_wait::operator()(milliseconds length) const
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                    length);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace masticshift::store
