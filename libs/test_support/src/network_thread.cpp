#include <test_support/network_thread.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <exception>
#include <future>
#include <thread>

namespace masticshift::test_support
{

namespace asio = boost::asio;

class network_thread::impl
{
public:
    ~impl()
    {
        stop();
    }

    void stop()
    {
        context.stop();
        if (thread.joinable())
            thread.join();
    }

    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard{
        context.get_executor()};
    std::thread thread{[this]
                       {
                           context.run();
                       }};
};

network_thread::network_thread() : impl_(std::make_unique<impl>())
{
}

network_thread::~network_thread() = default;

asio::any_io_executor network_thread::executor()
{
    return impl_->context.get_executor();
}

void network_thread::run(std::function<void()> work)
{
    std::promise<void> done;
    asio::post(impl_->context,
               [&]
               {
                   try
                   {
                       work();
                       done.set_value();
                   }
                   catch (...)
                   {
                       done.set_exception(std::current_exception());
                   }
               });
    done.get_future().get();
}

void network_thread::stop()
{
    impl_->stop();
}

} // namespace masticshift::test_support
