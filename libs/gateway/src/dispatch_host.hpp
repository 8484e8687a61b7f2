#ifndef MASTICSHIFT_GATEWAY_DISPATCH_HOST_HPP
#define MASTICSHIFT_GATEWAY_DISPATCH_HOST_HPP

#include "peer_calls.hpp"
#include "shared_state.hpp"

#include <dispatch/dispatcher.hpp>
#include <transport/http_client.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace masticshift::gateway
{

/// Runs the dispatcher while this entry dispatches: takes and gives up the
/// role, carries out the dispatcher's orders and tells it the answers.
class dispatch_host
{
public:
    dispatch_host(shared_state& state, transport::http_client& endpoints,
                  peer_link::peer_client& peers);
    ~dispatch_host();

    dispatch_host(dispatch_host const&) = delete;
    dispatch_host& operator=(dispatch_host const&) = delete;

    /// The loop of the role.
    asio::awaitable<void> run();

    /// Dispatches a job and waits for its end.
    asio::awaitable<dispatch::job_result>
    run_job(dispatch::job_spec job, dispatch::entry_identity const& origin);

    void withdraw(std::string const& id,
                  dispatch::entry_identity const& origin);

    /// Another dispatcher has given up endpoints.
    void take_released(std::vector<std::string> const& endpoints, bool last);

    bool active() const
    {
        return dispatcher_ != nullptr;
    }

    asio::any_io_executor const& executor() const
    {
        return executor_;
    }

    dispatch::dispatcher const* dispatcher() const
    {
        return dispatcher_.get();
    }

private:
    struct waiting_job
    {
        explicit waiting_job(asio::any_io_executor const& executor)
            : ended(executor, time_point::max())
        {
        }

        asio::steady_timer ended;
        std::optional<dispatch::job_result> result;
    };

    struct endpoint_loop
    {
        explicit endpoint_loop(asio::any_io_executor const& executor)
            : wake(executor)
        {
        }

        asio::steady_timer wake;
    };

    using job_key = std::pair<std::string, std::string>;

    void update_role(time_point now);
    void begin(time_point now);
    void end(time_point now);
    void retire(time_point now);
    void hand_over(time_point now);
    void raise_token(time_point now);
    void feed_registry(time_point now);
    bool may_take(std::string const& endpoint, time_point now) const;
    void update_claim();
    void update_metrics();

    void add_endpoint(dispatch::endpoint_record const& record, time_point now);
    static asio::awaitable<void> watch_endpoint(dispatch_host& self,
                                                std::string endpoint,
                                                std::uint64_t term);
    asio::awaitable<bool> read_list(std::string endpoint,
                                    dispatch::list_order order,
                                    std::uint64_t term);
    static asio::awaitable<void> send_start(dispatch_host& self,
                                            dispatch::start_order order,
                                            std::uint64_t term);
    static asio::awaitable<void> send_stop(dispatch_host& self,
                                           dispatch::stop_order order,
                                           std::uint64_t term);
    static asio::awaitable<void>
    send_release(dispatch_host& self, std::string peer,
                 std::vector<std::string> endpoints, bool last);
    static asio::awaitable<void> send_speeds(dispatch_host& self,
                                             std::string peer);
    void share_speeds(time_point now);

    /// Carries out what the dispatcher has decided.
    void flush();
    void deliver(dispatch::finished_job const& job);

    shared_state& state_;
    transport::http_client& endpoints_;
    peer_link::peer_client& peers_;
    asio::any_io_executor executor_;
    std::unique_ptr<dispatch::dispatcher> dispatcher_;
    /// Counts the spans in which this entry dispatched.
    std::uint64_t term_ = 0;
    bool retiring_ = false;
    time_point retiring_since_{};
    time_point begun_{};
    time_point token_raised_{};
    time_point speeds_shared_{};
    std::set<std::string> released_;
    bool all_released_ = false;
    std::map<std::string, dispatch::endpoint_record> records_;
    std::map<std::string, std::unique_ptr<endpoint_loop>> loops_;
    std::map<job_key, std::shared_ptr<waiting_job>> waiting_;
};

} // namespace masticshift::gateway

#endif
