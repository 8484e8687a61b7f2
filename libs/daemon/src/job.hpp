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
    /// Not sent to an endpoint, or certainly not started by one.
    waiting,
    /// An endpoint was chosen; no byte of the task has been written.
    connecting,
    /// Sent to an endpoint, where it may be running.
    written,
    /// The endpoint has responded that the task ran.
    ended
};

struct job_task
{
    task_phase phase = task_phase::waiting;
    /// Attempts so far, including the current one.
    unsigned attempts = 0;
    /// An earlier attempt of an idempotent request may have run.
    bool may_have_run = false;
    /// Label of the current attempt.
    std::string label;
    config::socket_address endpoint;
    std::string output;
    std::string content_type;
};

/// An accepted submission that this entry runs.
struct job
{
    job(boost::asio::any_io_executor const& executor, submission accepted)
        : submitted(std::move(accepted)),
          ended_event(executor, boost::asio::steady_timer::time_point::max()),
          deadline_timer(executor)
    {
    }

    submission submitted;
    homes::submission_id id;
    std::string id_text;
    /// Number of the job in the submission table.
    homes::submission_number table_number = 0;
    /// Revision of the configuration in force at admission.
    std::uint64_t revision = 0;
    bool recoverable = false;
    time_point admitted;
    time_point deadline;
    /// Number of the job in the placement engine. A retried request gets a new
    /// one.
    std::uint64_t number = 0;
    std::vector<job_task> tasks;
    std::size_t unfinished_tasks = 0;
    unsigned retries = 0;
    /// Set when the job has ended.
    homes::answer_ptr answer;
    /// Used as an event: never expires, but is cancelled when the job ends,
    /// which wakes all waiters.
    boost::asio::steady_timer ended_event;
    boost::asio::steady_timer deadline_timer;

    bool has_ended() const
    {
        return answer != nullptr;
    }
};

/// Whether any task of a job that ends now has run, as far as this entry knows.
/// Only valid if no task is written afterwards.
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
