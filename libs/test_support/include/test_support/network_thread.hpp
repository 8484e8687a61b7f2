#ifndef MASTICSHIFT_TEST_SUPPORT_NETWORK_THREAD_HPP
#define MASTICSHIFT_TEST_SUPPORT_NETWORK_THREAD_HPP

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace masticshift::test_support
{

/// One thread that runs an Asio context until it is stopped or the object goes.
/// What uses the executor has to go before the object.
class network_thread
{
public:
    network_thread();
    ~network_thread();

    network_thread(network_thread const&) = delete;
    network_thread& operator=(network_thread const&) = delete;

    boost::asio::any_io_executor executor();

    /// Runs the work on the thread, waits for its end and throws what it threw.
    /// Not to be called on the thread itself.
    void run(std::function<void()> work);

    /// Ends the thread. What waits on it never goes on.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace masticshift::test_support

#endif
