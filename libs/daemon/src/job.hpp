#ifndef MASTICSHIFT_DAEMON_JOB_HPP
#define MASTICSHIFT_DAEMON_JOB_HPP

#include "submission.hpp"

#include <config/daemon_settings.hpp>
#include <homes/admission_decision.hpp>
#include <homes/kept_answer.hpp>
#include <homes/submission_id.hpp>

#include <core/time.hpp>

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace masticshift::daemon
{

enum class task_phase
{
    /// Not given to an endpoint, or certainly not started there.
    waiting,
    /// An endpoint was chosen; no byte of the task was written.
    connecting,
    /// The task may be running.
    written,
    /// The endpoint said that the task has run.
    ended
};

struct job_task
{
    task_phase phase = task_phase::waiting;
    /// Attempts so far, the present one included.
    unsigned attempts = 0;
    /// An earlier attempt of an idempotent request may have run.
    bool may_have_run = false;
    /// Label of the present attempt.
    std::string label;
    config::socket_address endpoint;
    std::string output;
    std::string content_type;
};

/// A submission that this entry runs.
struct job
{
    job(boost::asio::any_io_executor const& executor, submission accepted)
        : what(std::move(accepted)),
          ended_event(executor, time_point::max()),
          deadline_timer(executor)
    {
    }

    submission what;
    homes::submission_id id;
    std::string id_text;
    /// The number that the submission table knows the job by.
    homes::submission_number table_number = 0;
    /// Revision of the configuration that the job was admitted under.
    std::uint64_t revision = 0;
    bool recoverable = false;
    time_point admitted;
    time_point deadline;
    /// The number that the placement engine knows the job by. A retried
    /// request gets another one.
    std::uint64_t number = 0;
    std::vector<job_task> tasks;
    std::size_t unfinished_tasks = 0;
    unsigned retries = 0;
    /// Set when the job has ended.
    homes::answer_ptr answer;
    /// Cancelled when the job has ended, which wakes those who wait for it.
    boost::asio::steady_timer ended_event;
    boost::asio::steady_timer deadline_timer;

    bool has_ended() const
    {
        return answer != nullptr;
    }
};

/// What can be said about the tasks of a job that ends now. Only valid if no
/// further task is written afterwards.
inline ran_state ran_of(job const& ending)
{
    auto ran = ran_state::not_run;
    for (auto const& task : ending.tasks)
    {
        if (task.phase == task_phase::ended)
            return ran_state::ran;
        if (task.phase == task_phase::written || task.may_have_run)
            ran = ran_state::unknown;
    }
    return ran;
}

} // namespace masticshift::daemon

#endif
