#ifndef MASTICSHIFT_TEST_SUPPORT_NETWORK_THREAD_HPP
#define MASTICSHIFT_TEST_SUPPORT_NETWORK_THREAD_HPP

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace masticshift::test_support
{

/// A thread that runs an Asio context until `stop` or the destructor. Objects
/// that use the executor must be destroyed before this one.
class network_thread
{
public:
    network_thread();
    ~network_thread();

    network_thread(network_thread const&) = delete;
    network_thread& operator=(network_thread const&) = delete;

    boost::asio::any_io_executor executor();

    /// Runs the work on the thread, waits until it is done and rethrows its
    /// exception. Must not be called on the thread itself.
    void run(std::function<void()> work);

    /// Ends the thread. Pending operations on its executor never complete.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace masticshift::test_support

#endif
