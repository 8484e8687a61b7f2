#ifndef MASTICSHIFT_DAEMON_JOB_RUNNER_HPP
#define MASTICSHIFT_DAEMON_JOB_RUNNER_HPP

#include "cancel_batch.hpp"
#include "endpoint_protocol.hpp"
#include "entry_metrics.hpp"
#include "job.hpp"
#include "retry_budget.hpp"

#include <placement/any_engine.hpp>
#include <transport/http_client.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace masticshift::daemon
{

using job_ptr = std::shared_ptr<job>;

/// Runs jobs: gives their tasks to the slots that the placement engine
/// chooses, gathers the outputs, and ends each job with one answer.
///
/// A task is written to an endpoint at most once, except where it is certain
/// that it did not start, or where its request is idempotent.
class job_runner
{
public:
    struct hooks
    {
        /// A job has ended; its answer is set.
        std::function<void(job&)> ended;
        /// The engine wants slots of another entry.
        std::function<void(placement::borrow_request)> borrow;
        /// The engine returns slots to another entry.
        std::function<void(placement::give_back)> give_back;
    };

    job_runner(boost::asio::any_io_executor executor,
               placement::any_engine& engine, transport::http_client& endpoints,
               entry_metrics& metrics, hooks connected);

    /// Queues a job whose id, deadline and tasks are set, or ends it at once
    /// with a refusal that says `not_run`.
    void start(job_ptr const& started, time_point now);

    /// Ends a job that was not started, with an answer that says `not_run`.
    void refuse(job& refused, result_code code, std::string const& detail);

    /// Ends a job as cancelled, unless it has ended.
    void cancel(job& running, time_point now);

    /// Ends every job that still runs, as `outcome_unknown` or, where nothing
    /// was started, `draining`.
    void end_all(time_point now);

    /// Lets the engine choose, soon: several calls make one round.
    void schedule_placement();

    std::size_t running_jobs() const
    {
        return jobs_.size();
    }

private:
    void place();
    void start_task(job_ptr const& running, placement::assignment const& chosen,
                    time_point now);
    void arm_timer(time_point now);
    void arm_deadline(job_ptr const& started);
    boost::asio::awaitable<void> run_task(job_ptr running,
                                          placement::assignment chosen,
                                          config::socket_address endpoint);
    boost::asio::awaitable<task_reply>
    recover(job& running, job_task const& task, task_reply lost);
    void conclude(job& running, placement::task_ref task, task_reply reply,
                  duration took, time_point now);
    void complete_task(job& running, job_task& task, task_reply reply,
                       time_point now);
    void place_anew(job& running, placement::task_ref task,
                    task_reply const& reply, time_point now);
    void drop_unwritten(job& running, job_task& task, time_point now);
    bool retry(job& running, time_point now);
    void fail(job& running, result_code code, std::string const& detail,
              time_point now);
    void end(job& running, homes::answer_ptr answer);
    placement::admission admit(job& started, time_point now);

    boost::asio::any_io_executor executor_;
    placement::any_engine& engine_;
    transport::http_client& endpoints_;
    entry_metrics& metrics_;
    hooks hooks_;
    cancel_batch cancellations_;
    retry_budget retries_;
    boost::asio::steady_timer timer_;
    bool placement_scheduled_ = false;
    std::uint64_t last_number_ = 0;
    /// Jobs that have not ended, by engine number.
    std::unordered_map<std::uint64_t, job_ptr> jobs_;
};

} // namespace masticshift::daemon

#endif
