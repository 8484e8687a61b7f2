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
    /// Source of its history events.
    std::string address;
    std::size_t slots = 8;
    double speed = 1;
    /// Run time of a task whose input has no `run_ms`.
    milliseconds run_time{50};
};

/// Stand-in of an endpoint: "runs" tasks by waiting for their run time. The
/// calls and `POST /control` are described in docs/PLATFORM.md.
class endpoint
{
public:
    using maybe_response = std::optional<transport::http_response>;

    endpoint(boost::asio::any_io_executor executor, endpoint_options options);

    endpoint(endpoint const&) = delete;
    endpoint& operator=(endpoint const&) = delete;

    /// Replaces the name and the address, which may be known only once the
    /// server listens. Must be called before the first request.
    void set_identity(std::string name, std::string address);

    /// Empty if the connection is to be closed without a response.
    boost::asio::awaitable<maybe_response>
    handle(transport::http_request request);

private:
    struct task_call;

    boost::asio::awaitable<maybe_response> run(transport::http_request request);
    boost::asio::awaitable<bool> wait(task_call const& call, duration time);
    boost::asio::awaitable<void> withhold_response();
    boost::asio::awaitable<maybe_response>
    run_and_respond(task_call const& call, bool hang);
    boost::asio::awaitable<maybe_response> send(task_call const& call,
                                                task_result const& result);
    bool admits(std::string const& task) const;
    task_result result_of(task_call const& call, bool ran_to_end) const;
    duration run_time_of(task_call const& call);
    transport::http_response look_up_result(std::string_view target);
    transport::http_response cancel(std::string_view body);
    transport::http_response control(std::string_view body);
    void record(history::event const& content) const;

    boost::asio::any_io_executor executor_;
    endpoint_options options_;
    endpoint_control control_;
    task_table tasks_;
    std::uint64_t runs_ = 0;
    /// Task and result of the previous response, sent instead of the right ones
    /// while `cross_answers` is set.
    std::string last_task_ = "other/0/0";
    task_result last_result_;
};

} // namespace masticshift::endpoint_standin

#endif
