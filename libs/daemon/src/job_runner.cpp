#include "job_runner.hpp"

#include "answer.hpp"

#include <core/log.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace masticshift::daemon
{

namespace
{

namespace asio = boost::asio;
using placement::task_result;

constexpr auto as_values = asio::as_tuple(asio::use_awaitable);

/// A call for a task of a recoverable service waits for this many predicted run
/// times, but at least for `min_response_timeout`. Then its connection is
/// closed and the endpoint is queried for the result.
constexpr int response_timeout_run_times = 4;
constexpr duration min_response_timeout = milliseconds(500);

/// Timeout of one query for the result of a task.
constexpr milliseconds recovery_timeout{500};
constexpr milliseconds initial_recovery_pause{20};
constexpr milliseconds max_recovery_pause{500};

/// Queries in a row without a usable response after which the result of the
/// task counts as lost.
constexpr unsigned max_inconclusive_queries = 5;

constexpr unsigned max_retries = 3;

// One event covers the placement decision and the start: it is logged
// immediately before the first byte of the task is written.
void log_start(placement::assignment const& chosen, std::string const& label,
               config::socket_address const& endpoint)
{
    if (!log_enabled(log_level::info))
        return;
    boost::json::object fields;
    fields["task"] = label;
    fields["endpoint"] = config::to_string(endpoint);
    fields["slot"] = chosen.slot;
    fields["borrowed"] = chosen.borrowed;
    fields["reason"] = placement::name_of(chosen.reason);
    log_event(log_level::info, "task_started", std::move(fields));
}

void log_task_end(job_task const& task, task_reply const& reply)
{
    if (!log_enabled(log_level::info))
        return;
    bool const not_started = placement::certainly_not_started(reply.result);
    auto const code = not_started ? result_code::endpoint_refused : reply.code;
    boost::json::object fields;
    fields["task"] = task.label;
    fields["endpoint"] = config::to_string(task.endpoint);
    fields["result"] = static_cast<int>(code);
    fields["reason"] = placement::name_of(reply.result);
    log_event(log_level::info, "task_ended", std::move(fields));
}

void log_end(job const& ended)
{
    boost::json::object fields;
    fields["id"] = ended.id_text;
    fields["code"] = static_cast<int>(ended.answer->code);
    fields["ran"] = name_of(ended.answer->ran);
    log_event(log_level::info, "job_answered", std::move(fields));
}

/// When to stop waiting for the response to a task. If the service is
/// recoverable, the endpoint is then queried for the result.
time_point response_deadline_of(job const& running, duration predicted,
                                time_point now)
{
    if (!running.recoverable)
        return running.deadline;
    auto const timeout =
        std::max(response_timeout_run_times * predicted, min_response_timeout);
    return std::min(running.deadline, now + timeout);
}

} // namespace

job_runner::job_runner(asio::any_io_executor executor,
                       placement::any_engine& engine,
                       transport::http_client& endpoints,
                       entry_metrics& metrics, hooks callbacks)
    : executor_(std::move(executor)),
      engine_(engine),
      endpoints_(endpoints),
      metrics_(metrics),
      hooks_(std::move(callbacks)),
      cancellations_(executor_, endpoints, metrics.cancellations),
      timer_(executor_)
{
}

placement::admission job_runner::admit(job& started, time_point now)
{
    started.number = ++last_number_;
    placement::job_request request;
    request.job = started.number;
    request.service = started.submitted.service;
    request.deadline = started.deadline;
    for (auto const& task : started.submitted.tasks)
        request.sizes.push_back(task.size);
    return engine_.admit(request, now);
}

void job_runner::start(job_ptr const& started, time_point now)
{
    auto const admission = admit(*started, now);
    if (!admission.accepted())
    {
        refuse(*started, admission.code, admission.detail);
        return;
    }
    ++metrics_.jobs_started;
    if (started->submitted.idempotent)
        retries_.record_request();
    started->tasks.resize(started->submitted.tasks.size());
    started->unfinished_tasks = started->tasks.size();
    jobs_[started->number] = started;
    boost::json::object fields;
    fields["id"] = started->id_text;
    fields["revision"] = started->revision;
    log_event(log_level::info, "job_admitted", std::move(fields));
    arm_deadline(started);
    schedule_placement();
}

void job_runner::refuse(job& refused, result_code code,
                        std::string const& detail)
{
    ++metrics_.jobs_refused;
    end(refused,
        make_error_answer(refused.id_text, code, ran_state::not_run, detail));
}

void job_runner::cancel(job& running, time_point now)
{
    if (!running.has_ended())
        fail(running, result_code::cancelled, "cancelled by the caller", now);
}

void job_runner::end_all(time_point now)
{
    std::vector<job_ptr> unfinished;
    for (auto const& [number, running] : jobs_)
        unfinished.push_back(running);
    for (auto const& running : unfinished)
    {
        auto const code = ran_of(*running) == ran_state::not_run
                              ? result_code::draining
                              : result_code::outcome_unknown;
        fail(*running, code, "the entry stopped before the job had ended", now);
    }
}

void job_runner::schedule_placement()
{
    if (placement_scheduled_)
        return;
    placement_scheduled_ = true;
    asio::post(executor_,
               [this]
               {
                   placement_scheduled_ = false;
                   place();
               });
}

void job_runner::place()
{
    auto const now = steady_clock::now();
    auto const chosen = engine_.place(now);
    // Look up all jobs before starting any task: a task that fails at once may
    // end its job and remove it from `jobs_`.
    std::vector<job_ptr> owners;
    owners.reserve(chosen.size());
    for (auto const& assignment : chosen)
        owners.push_back(jobs_.at(assignment.task.job));
    for (std::size_t i = 0; i < chosen.size(); ++i)
        start_task(owners[i], chosen[i], now);
    for (auto& request : engine_.take_borrow_requests(now))
        hooks_.borrow(std::move(request));
    for (auto& returned : engine_.take_surplus_loans(now))
        hooks_.give_back(std::move(returned));
    arm_timer(now);
}

void job_runner::start_task(job_ptr const& running,
                            placement::assignment const& chosen, time_point now)
{
    if (running->has_ended())
    {
        engine_.finished(chosen.task, task_result::cancelled, duration::zero(),
                         now);
        return;
    }
    config::socket_address const endpoint{chosen.endpoint->ip,
                                          chosen.endpoint->port};
    asio::co_spawn(executor_, run_task(running, chosen, endpoint),
                   asio::detached);
}

void job_runner::arm_timer(time_point now)
{
    auto const next = engine_.next_event(now);
    if (!next)
    {
        timer_.cancel();
        return;
    }
    timer_.expires_after(*next - now);
    timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
                schedule_placement();
        });
}

void job_runner::arm_deadline(job_ptr const& started)
{
    started->deadline_timer.expires_after(started->deadline -
                                          steady_clock::now());
    started->deadline_timer.async_wait(
        [this,
         watched = std::weak_ptr(started)](boost::system::error_code error)
        {
            auto const late = watched.lock();
            if (error || !late || late->has_ended())
                return;
            fail(*late, result_code::deadline_passed,
                 "the job's deadline has passed", steady_clock::now());
        });
}

asio::awaitable<void> job_runner::run_task(job_ptr running,
                                           placement::assignment chosen,
                                           config::socket_address endpoint)
{
    auto& task = running->tasks[chosen.task.task];
    task.phase = task_phase::connecting;
    task.endpoint = endpoint;
    ++task.attempts;
    task.label =
        make_task_label(running->id_text, chosen.task.task, task.attempts);
    auto const started_at = steady_clock::now();
    auto const response_deadline =
        response_deadline_of(*running, chosen.predicted, started_at);
    auto request =
        make_task_request(running->submitted.service, task.label,
                          running->submitted.tasks[chosen.task.task].body,
                          running->deadline - started_at);
    transport::call_checks checks;
    checks.may_send = [&](time_point now)
    {
        if (running->has_ended() || now >= running->deadline)
            return false;
        task.phase = task_phase::written;
        ++metrics_.task_calls;
        log_start(chosen, task.label, endpoint);
        return true;
    };
    checks.may_reuse_connection = [&](transport::http_response const& response)
    {
        return names_task(response, task.label);
    };
    auto result =
        co_await endpoints_.call(endpoint.ip, endpoint.port, std::move(request),
                                 response_deadline, checks);
    if (result)
    {
        ++metrics_.task_answers;
        metrics_.task_time.observe(steady_clock::now() - started_at);
    }
    auto reply = read_task_reply(std::move(result), task.label);
    if (reply.result == task_result::lost && running->recoverable)
        reply = co_await recover(*running, task, std::move(reply));
    auto const now = steady_clock::now();
    finish_task(*running, chosen.task, std::move(reply), now - started_at, now);
}

asio::awaitable<task_reply>
job_runner::recover(job& running, job_task const& task, task_reply lost)
{
    asio::steady_timer pause_timer(executor_);
    duration pause = initial_recovery_pause;
    unsigned inconclusive_queries = 0;
    while (inconclusive_queries < max_inconclusive_queries &&
           !running.has_ended())
    {
        auto const now = steady_clock::now();
        auto const deadline =
            std::min<time_point>(running.deadline, now + recovery_timeout);
        ++metrics_.answer_queries;
        auto query = make_result_request(task.label);
        auto result = co_await endpoints_.call(
            task.endpoint.ip, task.endpoint.port, std::move(query), deadline);
        auto recovered = read_recovery_reply(std::move(result), task.label);
        if (recovered.state == recovery_state::ended)
            co_return std::move(recovered.reply);
        ++inconclusive_queries;
        if (recovered.state == recovery_state::running)
            inconclusive_queries = 0;
        pause_timer.expires_after(pause);
        co_await pause_timer.async_wait(as_values);
        pause = std::min<duration>(2 * pause, max_recovery_pause);
    }
    co_return lost;
}

void job_runner::finish_task(job& running, placement::task_ref task,
                             task_reply reply, duration elapsed, time_point now)
{
    auto& ended = running.tasks[task.task];
    log_task_end(ended, reply);
    engine_.finished(task, reply.result, elapsed, now);
    if (placement::certainly_not_started(reply.result))
        requeue_task(running, task, reply, now);
    else if (reply.result == task_result::ok)
        complete_task(running, ended, std::move(reply), now);
    else if (reply.result == task_result::cancelled)
        drop_unwritten_task(running, ended, now);
    else if (reply.result == task_result::lost && retry(running, now))
        ++metrics_.requests_retried;
    else
    {
        if (reply.result == task_result::failed)
            ended.phase = task_phase::ended;
        fail(running, reply.code, reply.detail, now);
    }
    schedule_placement();
}

void job_runner::complete_task(job& running, job_task& task, task_reply reply,
                               time_point now)
{
    task.phase = task_phase::ended;
    if (running.has_ended())
        return;
    // The response may arrive after the deadline, but before the handler of the
    // deadline timer has run.
    if (now >= running.deadline)
    {
        fail(running, result_code::deadline_passed,
             "the job's deadline has passed", now);
        return;
    }
    task.output = std::move(reply.output);
    task.content_type = std::move(reply.content_type);
    if (--running.unfinished_tasks > 0)
        return;
    if (running.submitted.kind == homes::submission_kind::request)
    {
        end(running, make_request_answer(std::move(task.output),
                                         std::move(task.content_type)));
        return;
    }
    std::vector<std::string> outputs;
    for (auto& done : running.tasks)
        outputs.push_back(to_json_value(std::move(done.output)));
    end(running, make_job_answer(running.id_text, outputs));
}

void job_runner::requeue_task(job& running, placement::task_ref task,
                              task_reply const& reply, time_point now)
{
    running.tasks[task.task].phase = task_phase::waiting;
    if (running.has_ended())
    {
        engine_.cancel(task.job, now);
        return;
    }
    if (engine_.requeue(task, now))
    {
        ++metrics_.tasks_requeued;
        return;
    }
    fail(running, result_code::endpoint_refused, reply.detail, now);
}

// The task was not written because its job has ended, or because the deadline
// has passed before the handler of the deadline timer has run.
void job_runner::drop_unwritten_task(job& running, job_task& task,
                                     time_point now)
{
    task.phase = task_phase::waiting;
    fail(running, result_code::deadline_passed, "the job's deadline has passed",
         now);
}

// Only requests are idempotent. A request has a single task, so the engine has
// dropped its job when that task has ended, and it is admitted again under a
// new number.
bool job_runner::retry(job& running, time_point now)
{
    if (running.has_ended() || !running.submitted.idempotent)
        return false;
    if (running.retries >= max_retries || !retries_.take())
        return false;
    auto const ended_number = running.number;
    auto const held = jobs_.at(ended_number);
    if (!admit(running, now).accepted())
    {
        running.number = ended_number;
        return false;
    }
    jobs_.erase(ended_number);
    jobs_[running.number] = held;
    ++running.retries;
    running.tasks.front().may_have_run = true;
    running.tasks.front().phase = task_phase::waiting;
    return true;
}

void job_runner::fail(job& running, result_code code, std::string const& detail,
                      time_point now)
{
    if (running.has_ended())
        return;
    engine_.cancel(running.number, now);
    for (auto const& task : running.tasks)
    {
        if (task.phase == task_phase::written)
            cancellations_.add(task.endpoint, task.label);
    }
    end(running,
        make_error_answer(running.id_text, code, ran_of(running), detail));
    schedule_placement();
}

void job_runner::end(job& running, homes::answer_ptr answer)
{
    running.answer = std::move(answer);
    if (running.answer->code == result_code::ok)
    {
        ++metrics_.jobs_ok;
        metrics_.job_time.observe(steady_clock::now() - running.admitted);
    }
    else if (!running.tasks.empty())
        ++metrics_.jobs_failed;
    log_end(running);
    hooks_.ended(running);
    running.ended_event.cancel();
    running.deadline_timer.cancel();
    jobs_.erase(running.number);
}

} // namespace masticshift::daemon
