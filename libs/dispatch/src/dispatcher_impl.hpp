#ifndef MASTICSHIFT_DISPATCH_DISPATCHER_IMPL_HPP
#define MASTICSHIFT_DISPATCH_DISPATCHER_IMPL_HPP

#include "endpoint_account.hpp"
#include "placement_choice.hpp"
#include "tracked_job.hpp"
#include "wait_queue.hpp"

#include <dispatch/dispatcher.hpp>
#include <overload/demand_estimator.hpp>
#include <overload/usable_capacity.hpp>

#include <deque>
#include <set>
#include <unordered_map>
#include <utility>

namespace masticshift::dispatch
{

/// Implementation of the dispatcher. The public members correspond to those of
/// `dispatcher`.
class dispatcher::impl
{
public:
    impl(dispatch_limits limits, std::int64_t token, token_source next_token);

    void submit(job_spec spec, std::string origin, time_point now);
    void withdraw(std::string const& id, std::string const& origin,
                  time_point now);
    bool cancel(std::string const& id, time_point now);
    void cancel_jobs_of_origin(std::string const& origin, time_point now);
    void end_all_jobs(time_point now);
    void advance_token(std::int64_t token);
    void retire(time_point now);
    std::vector<std::string> release_idle();

    void set_evacuated(bool evacuated, time_point now);

    void update_endpoint(endpoint_record record);
    void remove_endpoint(std::string const& id);

    std::optional<list_order> next_list(std::string const& endpoint,
                                        time_point now);
    void list_answered(std::string const& endpoint, list_order const& order,
                       run_list const& list, std::int64_t endpoint_clock,
                       time_point sent, time_point now);
    void list_failed(std::string const& endpoint, order_response response,
                     time_point now, std::int64_t token);
    void start_answered(start_order const& order, order_response response,
                        std::optional<std::int64_t> endpoint_clock,
                        time_point now);
    void stop_answered(stop_order const& order, order_response response,
                       time_point now);
    void tick(time_point now);

    std::vector<endpoint_status> status(time_point now) const;
    std::size_t runs() const;

private:
    friend class dispatcher;

    endpoint_account* find(std::string const& endpoint);
    duration chain_time(job_spec const& spec) const;
    std::optional<job_result> refusal_of(tracked_job const& job,
                                         time_point now);
    /// Work that is expected to be done before a job, as the time that all
    /// endpoints need for it.
    struct expected_wait
    {
        duration total{0};
        /// Parts of it: jobs that have been started, and waiting ones of the
        /// job's own priority.
        duration started{0};
        duration own_class{0};
    };

    /// Expected wait of a job in the queue until its first start. Not exact
    /// beyond twice its `slack`.
    duration estimated_wait(tracked_job const& job, duration slack,
                            time_point now) const;
    /// Adds a job that comes before the one in question. Returns its work, for
    /// the shares of the priorities.
    double add_ahead(expected_wait& wait, wait_queue::key const& key,
                     tracked_job const& ahead, int priority,
                     std::int64_t capacity) const;
    /// The wait when work of other priorities continues to arrive.
    duration with_arrivals(expected_wait const& wait, int priority,
                           std::int64_t capacity, time_point now) const;
    duration wait_of_new(int priority, time_point now) const;
    std::vector<milliseconds> expected_waits(time_point now) const;
    /// How long a wait that is too long by `excess` is expected to remain so.
    duration time_to_drain(duration excess, time_point now) const;
    duration retry_after_late(int priority, time_point now) const;
    /// Refuses waiting jobs of less urgent priorities that will miss their
    /// objective behind the new job, while that is early.
    void displace(tracked_job const& newcomer, time_point now);
    bool may_be_displaced(wait_queue::key const& key, tracked_job const& job,
                          tracked_job const& newcomer, time_point now) const;
    duration backlog() const;
    /// Total thousandths of a core, in use or free, of endpoints that take work
    /// or are about to; with several priorities only the part that tasks can
    /// use.
    std::int64_t usable_processor() const;
    /// A task waits that fits nowhere.
    void observe_full(time_point now);
    /// Estimated work of the job's waiting tasks: thousandths of a core times
    /// run time. All of them count with the need and run time of the first
    /// step.
    duration waiting_work(tracked_job const& job) const;
    void record_need(std::int64_t processor);
    std::int64_t free_processor(time_point now) const;
    void enqueue(job_ptr const& job, time_point now);
    void finish(job_ptr const& job, job_result result, time_point now);
    void record_completed(std::string const& id, time_point now);
    bool was_completed(std::string const& id) const;
    /// Whether tasks of the job may be running, also for a former submission.
    bool has_live_runs(tracked_job const& job) const;
    void check_waiting(time_point now);
    void check_deadlines(time_point now);

    /// Whether free capacity suffices to start all tasks of the steps without
    /// predecessors at once, so that they end before `finish_by`.
    bool can_start_all(tracked_job const& job, time_point finish_by,
                       time_point now) const;
    /// Time by which a job with `only_if_idle` must be expected to end.
    time_point idle_finish_by(tracked_job const& job, time_point now) const;
    /// Ends the jobs with waiting tasks, none of which may be started.
    void end_evacuated_jobs(time_point now);
    void place(time_point now);
    void place_job(job_ptr const& job, time_point now);
    bool place_task(job_ptr const& job, std::size_t index, time_point now);
    std::int64_t largest_free() const;

    void stop_run(endpoint_account& account, run_key const& key,
                  time_point now);
    void resend_stops(endpoint_account& account, time_point now);
    void run_ended(endpoint_account& account, finished_run const& finished,
                   time_point now);
    void task_done(endpoint_account& account, finished_run const& finished,
                   time_point now);
    void task_failed(endpoint_account& account, finished_run const& finished,
                     time_point now);
    /// The run was stopped by this dispatcher.
    void task_stopped(finished_run const& finished, time_point now);
    void task_lost(finished_run const& finished, time_point now);
    /// The run was lost with an endpoint that has crashed.
    void task_crashed(finished_run const& finished, time_point now);
    /// Ends the job if too many endpoints have crashed under one of its tasks.
    /// Returns whether it did.
    bool give_up_crashing(job_ptr const& job, time_point now);
    void requeue_task(job_ptr const& job, std::size_t index, time_point now);
    /// Reacts to a start order without a response.
    void start_unanswered(endpoint_account& account, run_key const& key,
                          placed_run& run, time_point now);
    void discard_start(endpoint_account& account, run_key const& key,
                       time_point now);
    /// Places nothing more on an endpoint whose response raises the question
    /// whether its process has ended, until it has been listed again.
    static void stop_starts_at(endpoint_account& account,
                               order_response response, time_point now);
    /// `source`: where the start time was read, a list or a record.
    void record_process(endpoint_account const& account,
                        std::string_view source, std::int64_t started_ms);
    void record_process_ended(endpoint_account& account,
                              std::string_view evidence);
    /// Makes the new process of an endpoint reject the orders that were meant
    /// for the former one and are still in transit.
    void raise_token(endpoint_account& account);
    /// Counts the crashes under runs whose leases ended before.
    void record_crashes(endpoint_account& account, time_point now);
    void record_success(endpoint_account& account);
    void record_failure(endpoint_account& account, endpoint_failure reason,
                        time_point now);
    void check_progress(endpoint_account& account, time_point now);
    duration restart_time(placed_run const& run, time_point now);
    void record_decision(std::string_view event, tracked_job const& job,
                         std::string const& task, std::string const& endpoint,
                         std::string_view outcome, double value);

    std::int64_t token_ = 0;
    token_source next_token_;
    speed_estimator speeds_;
    account_map accounts_;
    wait_queue queue_;
    overload::demand_estimator demand_;
    overload::usable_capacity usable_capacity_;
    std::unordered_map<std::string, job_ptr> jobs_;
    std::vector<start_order> starts_;
    std::vector<stop_order> stops_;
    std::vector<finished_job> finished_;
    std::vector<decision> decisions_;
    std::set<std::string> endpoints_to_poll_;
    dispatch_limits limits_;
    std::uint64_t next_job_ = 1;
    /// Average need of a task, in thousandths of a core.
    std::int64_t average_need_ = 0;
    /// Number of runs by task that may be running, also those of ended jobs.
    std::unordered_map<std::string, int> live_runs_;
    /// Endpoints to be removed as soon as nothing runs there.
    std::set<std::string> removed_;
    /// Recently completed jobs, the oldest first.
    std::deque<std::pair<time_point, std::string>> completed_;
    std::set<std::string> completed_ids_;
    crash_history crash_history_;
    time_point progress_checked_{};
    time_point records_usable_until_ = time_point::max();
    bool retiring_ = false;
    /// The data centre of the endpoints is evacuated.
    bool evacuated_ = false;
};

} // namespace masticshift::dispatch

#endif
