#ifndef MASTICSHIFT_ENDPOINT_STANDIN_ENDPOINT_HPP
#define MASTICSHIFT_ENDPOINT_STANDIN_ENDPOINT_HPP

#include "endpoint_control.hpp"
#include "task_table.hpp"

#include <history/event.hpp>
#include <transport/http_message.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace masticshift::endpoint_standin
{

struct endpoint_options
{
    std::string name;
    /// Source of its history.
    std::string address;
    std::size_t slots = 8;
    double speed = 1;
    /// Run time of a task whose input names none.
    milliseconds run_time{50};
};

/// A place that runs tasks by waiting, as in docs/PLATFORM.md.
class endpoint
{
public:
    using answer = std::optional<transport::http_response>;

    endpoint(boost::asio::any_io_executor executor, endpoint_options options);

    endpoint(endpoint const&) = delete;
    endpoint& operator=(endpoint const&) = delete;

    /// Replaces the name and the address, which may be known only after the
    /// server listens. Call it before the first request.
    void set_identity(std::string name, std::string address);

    /// Nothing when the connection is to be closed.
    boost::asio::awaitable<answer> handle(transport::http_request request);

private:
    struct task_call;

    boost::asio::awaitable<answer> run(transport::http_request request);
    boost::asio::awaitable<bool> wait(task_call const& call, duration time);
    boost::asio::awaitable<void> stay_silent();
    boost::asio::awaitable<answer> finish(task_call const& call, bool hang);
    boost::asio::awaitable<answer> send(task_call const& call,
                                        task_result const& result);
    bool admits(std::string const& task) const;
    task_result result_of(task_call const& call, bool ran_to_end) const;
    duration run_time_of(task_call const& call);
    transport::http_response recover(std::string_view target);
    transport::http_response cancel(std::string_view body);
    transport::http_response control(std::string_view body);
    void record(history::event const& content) const;

    boost::asio::any_io_executor executor_;
    endpoint_options options_;
    endpoint_control control_;
    task_table tasks_;
    std::uint64_t runs_ = 0;
    /// Taken by crossed answers.
    std::string last_task_ = "other/0/0";
    task_result last_result_;
};

} // namespace masticshift::endpoint_standin

#endif
