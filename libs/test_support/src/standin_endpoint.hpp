#ifndef MASTICSHIFT_TEST_SUPPORT_STANDIN_ENDPOINT_HPP
#define MASTICSHIFT_TEST_SUPPORT_STANDIN_ENDPOINT_HPP

#include "standin_http.hpp"

#include <test_support/gateway_standin.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace masticshift::test_support
{

/// Processor demand of a task, in thousandths of a core.
constexpr std::int64_t task_processor = 6'800;

/// State that all endpoints of one `gateway_standin` share.
struct shared_endpoint_state
{
    std::shared_ptr<platform_faults> faults =
        std::make_shared<platform_faults>();
    std::mt19937 random;
    milliseconds run_time{60};
    /// Called for each run that an endpoint starts.
    std::function<void(std::string const& endpoint, std::string const& task)>
        on_started;
    /// Called for each start order that arrives at a process which has not
    /// answered a list.
    std::function<void(std::string const& endpoint, std::string const& task)>
        on_unlisted_start;
    /// Called for each list order with a lease or an acknowledgement that
    /// arrives at such a process.
    std::function<void(std::string const& endpoint)> on_unlisted_renewal;
    /// Called for each start order that does not fit.
    std::function<void()> on_rejected_for_room;

    /// True with this probability.
    bool chance(int percent);
    /// A random number from 0 to `max`.
    int pick(int max);
};

/// One endpoint over HTTP, which enforces leases, fencing tokens and run
/// numbers.
class standin_endpoint : public std::enable_shared_from_this<standin_endpoint>
{
public:
    standin_endpoint(asio::any_io_executor executor,
                     std::shared_ptr<shared_endpoint_state> shared_state,
                     dispatch::endpoint_record record, double speed,
                     double clock_rate);

    /// Port 0 picks a free one.
    outcome<void> listen(std::uint16_t port = 0);

    /// Its address and port.
    std::string address() const;

    /// Its row in the store, with a higher sequence number at each call.
    std::string next_row();

    void set_draining(bool draining);

    /// Since when it drains, or nothing if it does not.
    std::optional<time_point> draining_since() const
    {
        return draining_since_;
    }

    /// Simulates a crash and a restart, which lose all state and reset the
    /// clock.
    void restart();

    /// The same, as an endpoint with these labels and this capacity, in
    /// thousandths of a core.
    void restart_as(std::vector<std::string> labels, std::int64_t processor);

    std::string const& data_centre() const
    {
        return model_.record().data_centre;
    }

    /// Number of runs of the task that are at work.
    std::size_t runs_of(std::string const& task);

    std::uint16_t port() const
    {
        return server_->port();
    }

    /// Registers this address instead of its own.
    void publish_address(std::string address)
    {
        published_address_ = std::move(address);
    }

private:
    static asio::awaitable<standin_response>
    handle(std::shared_ptr<standin_endpoint> self,
           transport::http_request request);
    /// Carries the order out some time after its arrival.
    static asio::awaitable<standin_response>
    carry_out_late(std::shared_ptr<standin_endpoint> self, std::string path,
                   json::object body, int longest_ms);
    bool holds_orders() const;
    static asio::awaitable<standin_response>
    list_runs(std::shared_ptr<standin_endpoint> self, json::object body);
    standin_response carry_out(std::string const& path,
                               json::object const& body);
    standin_response start(dispatch::run_key const& run, std::int64_t token,
                           std::int64_t lease_until);
    transport::http_response refusal(char const* reason) const;
    transport::http_response
    order_response(dispatch::order_response result) const;
    transport::http_response
    list_response(dispatch::run_list const& list) const;

    /// By the endpoint's own clock.
    std::int64_t clock_ms() const;

    asio::any_io_executor executor_;
    std::shared_ptr<shared_endpoint_state> shared_state_;
    dispatch::endpoint_model model_;
    std::unique_ptr<transport::http_server> server_;
    double speed_ = 1;
    double clock_rate_ = 1;
    time_point clock_start_;
    std::optional<time_point> draining_since_;
    std::int64_t sequence_ = 0;
    /// The present process has answered a list.
    bool listed_ = false;
    std::string published_address_;
};

} // namespace masticshift::test_support

#endif
