#ifndef MASTICSHIFT_TEST_SUPPORT_STANDIN_ENDPOINT_HPP
#define MASTICSHIFT_TEST_SUPPORT_STANDIN_ENDPOINT_HPP

#include "standin_http.hpp"

#include <test_support/gateway_standin.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>

namespace masticshift::test_support
{

/// Thousandths of a core that a task takes.
constexpr std::int64_t task_processor = 6'800;

/// What the endpoints of a stand-in share.
struct endpoint_surroundings
{
    std::shared_ptr<platform_faults> faults =
        std::make_shared<platform_faults>();
    std::mt19937 random;
    milliseconds run_time{60};
    /// Told of each task that an endpoint has begun.
    std::function<void(std::string const& endpoint, std::string const& task)>
        started;

    bool chance(int percent);
    int pick(int most);
};

/// One endpoint over HTTP, which obeys leases, tokens and run numbers.
class standin_endpoint : public std::enable_shared_from_this<standin_endpoint>
{
public:
    standin_endpoint(asio::any_io_executor executor,
                     std::shared_ptr<endpoint_surroundings> around,
                     dispatch::endpoint_record record, double speed,
                     double clock_rate);

    outcome<void> listen();

    /// Its row in the store, a newer one with each call.
    std::string next_row();

    void set_draining(bool draining);

    /// Dies and starts again, with nothing of before and a clock that starts
    /// anew.
    void restart();

    bool runs_task(std::string const& task);

private:
    static asio::awaitable<standin_answer>
    answer(std::shared_ptr<standin_endpoint> self,
           transport::http_request request);
    static asio::awaitable<standin_answer>
    list_runs(std::shared_ptr<standin_endpoint> self, json::object body);
    standin_answer carry_out(std::string const& path, json::object const& body);
    standin_answer start(dispatch::run_key const& run, std::int64_t token,
                         std::int64_t lease_until);
    transport::http_response refusal(char const* reason) const;
    transport::http_response order_answer(dispatch::order_answer result) const;
    transport::http_response list_answer(dispatch::run_list const& list) const;

    /// By the endpoint's own clock.
    std::int64_t clock_ms() const;

    asio::any_io_executor executor_;
    std::shared_ptr<endpoint_surroundings> around_;
    dispatch::endpoint_model model_;
    std::unique_ptr<transport::http_server> server_;
    double speed_ = 1;
    double clock_rate_ = 1;
    time_point clock_begun_;
    bool draining_ = false;
    std::int64_t sequence_ = 0;
};

} // namespace masticshift::test_support

#endif
