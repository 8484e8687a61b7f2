#ifndef MASTICSHIFT_DISPATCH_DISPATCHER_HPP
#define MASTICSHIFT_DISPATCH_DISPATCHER_HPP

#include <core/time.hpp>
#include <dispatch/endpoint_calls.hpp>
#include <dispatch/endpoint_record.hpp>
#include <dispatch/job.hpp>
#include <dispatch/limits.hpp>
#include <dispatch/speed_estimator.hpp>
#include <dispatch/token.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticshift::dispatch
{

/// A job that has ended, reported to the entry that answers its caller.
struct finished_job
{
    std::string id;
    std::string origin;
    job_result result;
    time_point accepted;
};

/// A decision of the dispatcher, for the log.
struct decision
{
    std::string_view event;
    std::string job;
    std::string task;
    std::string endpoint;
    std::string_view outcome;
    /// Its meaning depends on the event.
    double value = 0;
    /// Empty for events without a reason.
    std::string_view reason;
    /// Start time of the endpoint's process that the decision assumes, in Unix
    /// milliseconds. 0 where the process is unknown or does not matter.
    std::int64_t process_started_ms = 0;
    /// Of the job, for `job_ended`.
    std::optional<int> priority = {};
};

/// State of one endpoint, for operators.
struct endpoint_status
{
    std::string id;
    std::string_view link;
    std::string_view trust;
    unsigned failures = 0;
    /// Why it last lost trust; "none" if it never did.
    std::string_view last_failure;
    std::size_t runs = 0;
    resources free;
    double speed = 1;
};

/// Places the tasks of jobs on the endpoints that this process dispatches, and
/// renews the leases of the runs there.
///
/// Makes no calls itself: it returns orders for endpoints, and the responses
/// are passed to the members named `..._answered`. Not thread-safe.
///
/// A task is not started again while an earlier run of it may still be running.
/// A run counts as running until the endpoint reports its end, or until every
/// lease that it was given has ended by the endpoint's clock.
class dispatcher
{
public:
    /// `token` must be higher than that of any earlier dispatcher of the
    /// endpoints.
    dispatcher(dispatch_limits limits, std::int64_t token,
               token_source next_token = raised_token);
    ~dispatcher();

    dispatcher(dispatcher const&) = delete;
    dispatcher& operator=(dispatcher const&) = delete;

    std::int64_t token() const;

    /// Uses this higher token for the endpoints that have rejected the former
    /// one, do not respond, or have not been listed yet.
    void advance_token(std::int64_t token);

    /// Stops taking jobs. Jobs without any start order so far are refused with
    /// `not_dispatcher`; the others continue.
    void retire(time_point now);

    /// Releases the endpoints on which nothing runs, once no task waits, and
    /// returns their ids.
    std::vector<std::string> release_idle();

    /// Number of endpoints that have accepted a higher token of another
    /// dispatcher.
    std::size_t outranked() const;

    /// Number of these that have accepted none of this dispatcher's tokens
    /// since `begin`.
    std::size_t outranked_since(time_point begin) const;

    /// Number of endpoints that respond and take work.
    std::size_t usable() const;

    /// Thousandths of a core that are free on trusted endpoints, counted per
    /// endpoint in whole multiples of the average need of a task.
    std::int64_t free_processor(time_point now) const;

    /// How long all usable endpoints together need for the waiting tasks.
    duration backlog() const;

    /// Expected wait of a new job by the priority of its queue, as in
    /// `dispatch_claim::waits`. Empty while it is not known.
    std::vector<milliseconds> expected_waits(time_point now) const;

    /// The largest number of thousandths of a core that is free on one endpoint
    /// that takes work.
    std::int64_t largest_free_processor() const;

    /// Takes a job. `take_finished` returns it after it has ended. If a job of
    /// the same id is still open, that one ends as superseded, and the new one
    /// waits for its runs to stop. A job of an id that was completed recently
    /// ends as completed without running again.
    void submit(job_spec spec, std::string origin, time_point now);

    /// Whether a job of this id and origin is open.
    bool has_job(std::string const& id, std::string const& origin) const;

    /// Stops a job that its origin has withdrawn.
    void withdraw(std::string const& id, std::string const& origin,
                  time_point now);

    /// Ends a job that its caller has cancelled, whatever its origin, and stops
    /// its runs. Returns whether there was one.
    bool cancel(std::string const& id, time_point now);

    /// Stops all jobs of an origin that counts as dead.
    void cancel_jobs_of_origin(std::string const& origin, time_point now);

    /// Ends all jobs because this process no longer dispatches the endpoints.
    void end_all_jobs(time_point now);

    void update_endpoint(endpoint_record record);

    /// Orders no starts after this time, until a later one is set: the records
    /// of the endpoints are too old then. No limit by default.
    void use_records_until(time_point end);

    /// Sets whether the data centre of the endpoints is evacuated. While it is,
    /// nothing is started: waiting jobs end with `evacuated`, as refused if
    /// nothing of them was started. Active runs go on.
    void set_evacuated(bool evacuated, time_point now);

    /// Whether a process has answered whose record is not known, so that the
    /// records should be read again. No work is placed there until then.
    bool needs_records(time_point now) const;

    /// Places no new work on the endpoint, and removes it when its runs have
    /// ended.
    void remove_endpoint(std::string const& id);

    /// The next list order for an endpoint, or nothing if none is needed now.
    std::optional<list_order> next_list(std::string const& endpoint,
                                        time_point now);

    void list_answered(std::string const& endpoint, list_order const& order,
                       run_list const& list, std::int64_t endpoint_clock,
                       time_point sent, time_point now);
    /// `token`: that of the list order.
    void list_failed(std::string const& endpoint, order_response response,
                     time_point now, std::int64_t token = largest_token);
    /// Returns the order, which has not been sent yet, with the present token.
    /// Nothing if it must not be sent any more: its run is unwanted, the data
    /// centre is evacuated, or another process than the one that it assumes has
    /// answered a list.
    std::optional<start_order> renew_unsent(start_order order);

    void start_answered(start_order const& order, order_response response,
                        std::optional<std::int64_t> endpoint_clock,
                        time_point now);
    void stop_answered(stop_order const& order, order_response response,
                       time_point now);

    /// Does the timed work: expired leases, repeated stops, progress checks,
    /// deadlines of jobs. To be called every few milliseconds.
    void tick(time_point now);

    std::vector<start_order> take_starts();
    std::vector<stop_order> take_stops();
    std::vector<finished_job> take_finished();
    std::vector<decision> take_decisions();

    /// Endpoints for which a list order may have become due since the last
    /// call.
    std::vector<std::string> take_endpoints_to_poll();

    speed_estimator& speeds();
    std::vector<endpoint_status> status(time_point now) const;
    std::size_t jobs() const;
    std::size_t runs() const;
    std::size_t waiting_tasks() const;
    std::size_t endpoints() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace masticshift::dispatch

#endif
