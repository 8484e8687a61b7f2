#ifndef MASTICSHIFT_GATEWAY_CELL_RUNNER_HPP
#define MASTICSHIFT_GATEWAY_CELL_RUNNER_HPP

#include "gateway_state.hpp"
#include "peer_calls.hpp"

#include <dispatch/cell_layout.hpp>
#include <dispatch/dispatcher.hpp>
#include <dispatch/response_timeout.hpp>
#include <dispatch/token_search.hpp>
#include <platform/run_codec.hpp>
#include <transport/http_client.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace masticshift::gateway
{

/// Dispatches one cell: sends the dispatcher's orders to endpoints, passes the
/// responses to the dispatcher, and hands the cell over when it retires.
class cell_runner : public std::enable_shared_from_this<cell_runner>
{
public:
    cell_runner(gateway_state& state, transport::http_client& endpoints,
                peer_link::peer_client& peers, asio::any_io_executor executor,
                dispatch::cell cell);

    cell_runner(cell_runner const&) = delete;
    cell_runner& operator=(cell_runner const&) = delete;

    /// Does the work that is due at this time. Called periodically.
    void step(time_point now);

    /// Dispatches a job that was not sent before `sent_after`, and waits until
    /// it has ended.
    static asio::awaitable<dispatch::job_result>
    run_job(std::shared_ptr<cell_runner> self, dispatch::job_spec job,
            dispatch::entry_identity origin, time_point sent_after);

    /// Withdraws a job, unless its origin has submitted it again since.
    void withdraw(std::string const& id, dispatch::entry_identity const& origin,
                  std::int64_t submission);

    /// Ends a job that its caller has cancelled. Returns whether there was one.
    bool cancel(std::string const& id);

    void update_endpoint(dispatch::endpoint_record const& record);
    void remove_endpoint(std::string const& id);

    /// Orders no starts after this time, until a later one is set.
    void use_records_until(time_point end, time_point now);

    /// Sets whether the cell's data centre is evacuated: nothing is started
    /// then.
    void set_evacuated(bool evacuated, time_point now);

    std::string const& data_centre() const
    {
        return data_centre_;
    }

    bool evacuated() const
    {
        return evacuated_;
    }

    /// Called when the former dispatcher of the cell has released endpoints.
    /// `last`: it has stopped, so all endpoints are released.
    void accept_released(std::vector<std::string> const& endpoints, bool last);

    /// Starts to hand the cell over: takes no new jobs, refuses those of which
    /// no task was ordered, and releases endpoints as they become idle.
    void retire(time_point now);

    /// Ends all jobs. No member may be called afterwards.
    void stop(time_point now);

    /// Whether all endpoints are released, or the time limit for it has passed.
    bool is_handed_over(time_point now) const;

    dispatch::dispatch_claim claim(time_point now);

    dispatch::dispatcher const& dispatcher() const
    {
        return *dispatcher_;
    }

    /// Whether endpoints reject its token and the next one is to be tried soon.
    bool is_searching_token() const
    {
        return token_search_.is_active();
    }

    bool retiring() const
    {
        return retiring_;
    }

private:
    struct waiting_job
    {
        waiting_job(asio::any_io_executor const& executor,
                    dispatch::entry_identity from, std::int64_t number,
                    time_point sent)
            : ended(executor, asio::steady_timer::time_point::max()),
              origin(std::move(from)),
              submission(number),
              sent_after(sent)
        {
        }

        asio::steady_timer ended;
        dispatch::entry_identity origin;
        std::int64_t submission;
        time_point sent_after;
        std::optional<dispatch::job_result> result;
    };

    using job_key = std::pair<std::string, std::string>;
    using self_ptr = std::shared_ptr<cell_runner>;

    void hand_over();
    void advance_token(time_point now);
    /// Returns the current token if this entry may not use a higher one now.
    std::int64_t next_token(std::int64_t current);
    void add_endpoints(time_point now);
    bool may_take(std::string const& endpoint, time_point now) const;
    /// Age of the list of endpoints. -1: none was read yet.
    std::int64_t list_age_ms(time_point now) const;
    void cancel_jobs_of_lost_origins(time_point now);
    /// To be called before the response to an order is used. After a pause,
    /// jobs may be unwanted: their runs must not be started again.
    void catch_up_after_pause(time_point now);
    /// Starts nothing until the evacuated data centres were read again. `step`
    /// has the same effect, but may follow later.
    void hold_starts_after_pause(time_point now);
    /// To be called before leases are renewed, by lists or by starts.
    void drop_unwanted_jobs(time_point now);
    /// Whether the process was paused and has made no step since.
    bool is_resuming(time_point now) const;

    static asio::awaitable<void> watch_endpoint(self_ptr self,
                                                std::string endpoint);
    /// The outcome of a call with a list order.
    struct list_call
    {
        dispatch::order_response response =
            dispatch::order_response::unanswered;
        /// Set if the response is `accepted`; an error if the list can't be
        /// read.
        std::optional<outcome<platform::list_response>> decoded;
        /// Rows of the list that can't be read.
        std::size_t skipped = 0;
        /// Not sent: no connection is known to lead to the process that the
        /// order assumes.
        bool unidentified = false;

        /// Start time of the process that has answered; 0 if it is unknown.
        std::int64_t process() const
        {
            return decoded && *decoded ? (*decoded)->list.started_ms : 0;
        }
    };

    /// Calls an endpoint, which may delay its response by up to `wait`.
    asio::awaitable<transport::call_result>
    call_endpoint(std::string endpoint, transport::http_request request,
                  milliseconds wait, transport::call_checks checks);
    static list_call read_response(transport::http_response const& response);
    /// The connection is known from then on to lead to the process that has
    /// responded.
    asio::awaitable<list_call> call_list(std::string endpoint,
                                         dispatch::list_order order);
    asio::awaitable<bool> read_list(std::string endpoint,
                                    dispatch::list_order order);
    /// Returns whether all of the list could be read.
    bool apply_list(std::string const& endpoint,
                    dispatch::list_order const& order, time_point sent,
                    list_call const& made);
    /// Lists an endpoint to find out which process a connection leads to.
    /// Returns `accepted` if it is the one that the order assumes, and
    /// `other_instance` if it is not.
    asio::awaitable<dispatch::order_response>
    identify_process(dispatch::start_order order, unsigned attempt);
    /// Sends a start order only over a connection to the process that it
    /// assumes. A new connection may lead to the next process of the endpoint.
    /// Sets the token with which the order was sent.
    asio::awaitable<platform::endpoint_response>
    start_at_process(dispatch::start_order& order);
    static asio::awaitable<void> send_start(self_ptr self,
                                            dispatch::start_order order);
    static asio::awaitable<void> send_stop(self_ptr self,
                                           dispatch::stop_order order);
    static asio::awaitable<void>
    send_release(self_ptr self, std::string peer,
                 std::vector<std::string> endpoints, bool last);
    static asio::awaitable<void> send_speeds(self_ptr self, std::string peer);
    void share_speeds(time_point now);

    /// Sends the dispatcher's pending orders, delivers the results of finished
    /// jobs and logs its decisions.
    void flush();
    void deliver(dispatch::finished_job const& job);

    gateway_state& state_;
    transport::http_client& endpoints_;
    peer_link::peer_client& peers_;
    asio::any_io_executor executor_;
    std::string cell_;
    std::string data_centre_;
    std::unique_ptr<dispatch::dispatcher> dispatcher_;
    bool retiring_ = false;
    bool stopped_ = false;
    /// Starts wait for a newer list of endpoints.
    bool starts_held_ = false;
    bool evacuated_ = false;
    time_point dispatching_since_{};
    time_point retiring_since_{};
    dispatch::token_search token_search_;
    time_point speeds_shared_{};
    time_point waits_updated_{};
    std::vector<milliseconds> waits_;
    time_point origins_checked_{};
    time_point stepped_ = steady_clock::now();
    std::set<std::string> released_;
    bool all_released_ = false;
    /// All endpoints of the cell, including those that the former dispatcher
    /// has not released yet.
    std::map<std::string, dispatch::endpoint_record> records_;
    /// Calls in a row without a response.
    struct lost_calls
    {
        unsigned count = 0;
        /// When the first of them was sent.
        time_point since;
    };

    /// By endpoint.
    std::map<std::string, lost_calls> unanswered_;
    dispatch::response_timeout response_timeout_;
    /// By endpoint: the timer that its `watch_endpoint` loop waits on.
    /// Cancelling it wakes the loop.
    std::map<std::string, std::shared_ptr<asio::steady_timer>> watch_timers_;
    std::map<job_key, std::shared_ptr<waiting_job>> waiting_;
};

} // namespace masticshift::gateway

#endif
