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

/// Runs jobs: sends their tasks to the slots that the placement engine chooses,
/// collects the outputs, and ends each job with one answer.
///
/// A task is sent to an endpoint at most once, unless it certainly did not
/// start or belongs to an idempotent request.
class job_runner
{
public:
    struct hooks
    {
        /// A job has ended; its answer is set.
        std::function<void(job&)> ended;
        /// The engine wants to borrow slots of another entry.
        std::function<void(placement::borrow_request)> borrow;
        /// The engine returns borrowed slots to their lender.
        std::function<void(placement::returned_loans)> give_back;
    };

    job_runner(boost::asio::any_io_executor executor,
               placement::any_engine& engine, transport::http_client& endpoints,
               entry_metrics& metrics, hooks callbacks);

    /// Queues a job whose id, deadline and tasks are set. If the engine does
    /// not admit it, ends it at once with a refusal whose ran state is
    /// `not_run`.
    void start(job_ptr const& started, time_point now);

    /// Ends a job that was not started with an error answer whose ran state is
    /// `not_run`.
    void refuse(job& refused, result_code code, std::string const& detail);

    /// Ends a job as `cancelled`, unless it has already ended.
    void cancel(job& running, time_point now);

    /// Ends every running job: as `draining` if none of its tasks was started,
    /// else as `outcome_unknown`.
    void end_all(time_point now);

    /// Posts a placement pass to the executor. Calls before it runs are merged
    /// into it.
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
    void finish_task(job& running, placement::task_ref task, task_reply reply,
                     duration elapsed, time_point now);
    void complete_task(job& running, job_task& task, task_reply reply,
                       time_point now);
    void requeue_task(job& running, placement::task_ref task,
                      task_reply const& reply, time_point now);
    void drop_unwritten_task(job& running, job_task& task, time_point now);
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
    /// Jobs that have not ended, by `job::number`.
    std::unordered_map<std::uint64_t, job_ptr> jobs_;
};

} // namespace masticshift::daemon

#endif
