#ifndef MASTICSHIFT_DISPATCH_DISPATCHER_HPP
#define MASTICSHIFT_DISPATCH_DISPATCHER_HPP

#include <core/time.hpp>
#include <dispatch/endpoint_calls.hpp>
#include <dispatch/endpoint_record.hpp>
#include <dispatch/job.hpp>
#include <dispatch/limits.hpp>
#include <dispatch/speed_estimator.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticshift::dispatch
{

/// A job that has ended, for the process that answers for it.
struct finished_job
{
    std::string id;
    std::string origin;
    job_result result;
    time_point accepted;
};

/// A decision, for the log.
struct decision
{
    std::string_view event;
    std::string job;
    std::string task;
    std::string endpoint;
    std::string_view outcome;
    /// What the number means depends on the event.
    double value = 0;
    /// Empty where the event says it all.
    std::string_view reason;
};

/// State of one endpoint, for operators.
struct endpoint_status
{
    std::string id;
    std::string_view link;
    std::string_view trust;
    unsigned failures = 0;
    /// Why it lost trust last. Empty: it never did.
    std::string_view last_failure;
    std::size_t runs = 0;
    resources free;
    double speed = 1;
};

/// Places the tasks of jobs on the endpoints that this process owns, and keeps
/// the leases of what runs there.
///
/// Decides only: calls to endpoints are given out as orders, and their answers
/// are told to the members named `..._answered`. Not thread-safe.
///
/// Two runs of one task are never ordered while both may be at work: a run
/// counts until the endpoint says that it is over, or until every lease that it
/// was given has ended by the endpoint's clock.
class dispatcher
{
public:
    /// `token` is higher than that of any earlier owner of the endpoints.
    dispatcher(dispatch_limits limits, std::int64_t token);
    ~dispatcher();

    dispatcher(dispatcher const&) = delete;
    dispatcher& operator=(dispatcher const&) = delete;

    std::int64_t token() const;

    /// Takes over, with this higher token, the endpoints that have refused the
    /// former one, or do not answer, or have not been read yet.
    void advance_token(std::int64_t token);

    /// Stops taking jobs. Those of which nothing was ordered are refused with
    /// `not_dispatcher`; the others go on.
    void retire(time_point now);

    /// Gives up the endpoints on which nothing runs, once no task waits.
    std::vector<std::string> release_idle();

    /// Endpoints that obey somebody else.
    std::size_t outranked() const;

    /// Endpoints that answer and take work.
    std::size_t usable() const;

    /// Thousandths of a core that are free on trusted endpoints, in pieces that
    /// hold a task of average need.
    std::int64_t free_processor(time_point now) const;

    /// How long all usable endpoints together need for the tasks that wait.
    duration backlog() const;

    /// Takes a job. Its end is told by `take_finished`. A live job of the same
    /// id ends as superseded, and the new one waits for its runs to stop.
    void submit(job_spec spec, std::string origin, time_point now);

    /// Whether a job of this id and origin has not ended.
    bool has_job(std::string const& id, std::string const& origin) const;

    /// Stops a job that its origin no longer answers for.
    void withdraw(std::string const& id, std::string const& origin,
                  time_point now);

    /// Stops all jobs of an origin that is gone.
    void cancel_jobs_of_origin(std::string const& origin, time_point now);

    /// Ends all jobs, as this process no longer owns the endpoints.
    void end_all_jobs(time_point now);

    void update_endpoint(endpoint_record record);
    void remove_endpoint(std::string const& id);

    /// What to ask an endpoint next. Nothing: there is nothing to ask now.
    std::optional<list_order> next_list(std::string const& endpoint,
                                        time_point now);

    void list_answered(std::string const& endpoint, list_order const& order,
                       run_list const& list, std::int64_t endpoint_clock,
                       time_point sent, time_point now);
    void list_failed(std::string const& endpoint, order_answer answer,
                     time_point now);
    void start_answered(start_order const& order, order_answer answer,
                        std::optional<std::int64_t> endpoint_clock,
                        time_point now);
    void stop_answered(stop_order const& order, order_answer answer,
                       time_point now);

    /// Does what is due by time. Call it every few milliseconds.
    void tick(time_point now);

    std::vector<start_order> take_starts();
    std::vector<stop_order> take_stops();
    std::vector<finished_job> take_finished();
    std::vector<decision> take_decisions();

    /// Endpoints that became worth asking since the last call.
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
