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

/// A connection to an endpoint whose answers can be fetched anew is given up
/// after this many predicted run times, but not before `least_quiet_time`.
constexpr int quiet_run_times = 4;
constexpr duration least_quiet_time = milliseconds(500);

constexpr milliseconds recovery_timeout{500};
constexpr milliseconds first_recovery_pause{20};
constexpr milliseconds longest_recovery_pause{500};

/// Questions in a row that an endpoint may leave open before it is given up.
constexpr unsigned max_open_questions = 5;

constexpr unsigned max_retries = 3;

// The placement decision and the start are one line: a task is written at once
// after its slot was chosen, or never.
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
    bool const anew = placement::certainly_not_started(reply.result);
    auto const code = anew ? result_code::endpoint_refused : reply.code;
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

/// The time to wait for an answer before asking what became of the task.
time_point answer_deadline(job const& running, duration predicted,
                           time_point now)
{
    if (!running.recoverable)
        return running.deadline;
    auto const quiet = std::max(quiet_run_times * predicted, least_quiet_time);
    return std::min(running.deadline, now + quiet);
}

} // namespace

job_runner::job_runner(asio::any_io_executor executor,
                       placement::any_engine& engine,
                       transport::http_client& endpoints,
                       entry_metrics& metrics, hooks connected)
    : executor_(std::move(executor)),
      engine_(engine),
      endpoints_(endpoints),
      metrics_(metrics),
      hooks_(std::move(connected)),
      cancellations_(executor_, endpoints, metrics.cancellations),
      timer_(executor_)
{
}

placement::admission job_runner::admit(job& started, time_point now)
{
    started.number = ++last_number_;
    placement::job_request request;
    request.job = started.number;
    request.service = started.what.service;
    request.deadline = started.deadline;
    for (auto const& task : started.what.tasks)
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
    if (started->what.idempotent)
        retries_.record_request();
    started->tasks.resize(started->what.tasks.size());
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
        fail(running, result_code::cancelled, "cancelled on request", now);
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
        fail(*running, code, "the entry stops", now);
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
    // Looked up before any starts: one that fails at once may end its job.
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
    timer_.expires_at(*next);
    timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
                schedule_placement();
        });
}

void job_runner::arm_deadline(job_ptr const& started)
{
    started->deadline_timer.expires_at(started->deadline);
    started->deadline_timer.async_wait(
        [this,
         watched = std::weak_ptr(started)](boost::system::error_code error)
        {
            auto const late = watched.lock();
            if (error || !late || late->has_ended())
                return;
            fail(*late, result_code::deadline_passed,
                 "the time allowed has passed", steady_clock::now());
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
    auto const begun = steady_clock::now();
    auto const answer_by = answer_deadline(*running, chosen.predicted, begun);
    auto request = make_task_request(running->what.service, task.label,
                                     running->what.tasks[chosen.task.task].body,
                                     running->deadline - begun);
    transport::call_checks checks;
    checks.still_wanted = [&](time_point now)
    {
        if (running->has_ended() || now >= running->deadline)
            return false;
        task.phase = task_phase::written;
        ++metrics_.task_calls;
        log_start(chosen, task.label, endpoint);
        return true;
    };
    checks.trusts = [&](transport::http_response const& response)
    {
        return answers_task(response, task.label);
    };
    auto result = co_await endpoints_.call(
        endpoint.ip, endpoint.port, std::move(request), answer_by, checks);
    if (result)
    {
        ++metrics_.task_answers;
        metrics_.task_time.observe(steady_clock::now() - begun);
    }
    auto reply = read_task_reply(std::move(result), task.label);
    if (reply.result == task_result::lost && running->recoverable)
        reply = co_await recover(*running, task, std::move(reply));
    auto const now = steady_clock::now();
    conclude(*running, chosen.task, std::move(reply), now - begun, now);
}

asio::awaitable<task_reply>
job_runner::recover(job& running, job_task const& task, task_reply lost)
{
    asio::steady_timer pause_timer(executor_);
    duration pause = first_recovery_pause;
    unsigned open_questions = 0;
    while (open_questions < max_open_questions && !running.has_ended())
    {
        auto const now = steady_clock::now();
        auto const deadline =
            std::min<time_point>(running.deadline, now + recovery_timeout);
        ++metrics_.answer_queries;
        auto question = make_answer_request(task.label);
        auto result =
            co_await endpoints_.call(task.endpoint.ip, task.endpoint.port,
                                     std::move(question), deadline);
        auto recovered = read_recovery_reply(std::move(result), task.label);
        if (recovered.state == recovery_state::ended)
            co_return std::move(recovered.reply);
        ++open_questions;
        if (recovered.state == recovery_state::running)
            open_questions = 0;
        pause_timer.expires_after(pause);
        co_await pause_timer.async_wait(as_values);
        pause = std::min<duration>(2 * pause, longest_recovery_pause);
    }
    co_return lost;
}

void job_runner::conclude(job& running, placement::task_ref task,
                          task_reply reply, duration took, time_point now)
{
    auto& ended = running.tasks[task.task];
    log_task_end(ended, reply);
    engine_.finished(task, reply.result, took, now);
    if (placement::certainly_not_started(reply.result))
        place_anew(running, task, reply, now);
    else if (reply.result == task_result::ok)
        complete_task(running, ended, std::move(reply), now);
    else if (reply.result == task_result::cancelled)
        drop_unwritten(running, ended, now);
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
    // The answer may have arrived before the timer of the deadline has run.
    if (now >= running.deadline)
    {
        fail(running, result_code::deadline_passed,
             "the time allowed has passed", now);
        return;
    }
    task.output = std::move(reply.output);
    task.content_type = std::move(reply.content_type);
    if (--running.unfinished_tasks > 0)
        return;
    if (running.what.kind == homes::submission_kind::request)
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

void job_runner::place_anew(job& running, placement::task_ref task,
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
        ++metrics_.tasks_placed_anew;
        return;
    }
    fail(running, result_code::endpoint_refused, reply.detail, now);
}

// Its job has ended, or the deadline has passed before the timer noticed.
void job_runner::drop_unwritten(job& running, job_task& task, time_point now)
{
    task.phase = task_phase::waiting;
    fail(running, result_code::deadline_passed, "the time allowed has passed",
         now);
}

// Only a request has a single task, so its job is known to the engine no more
// when that task has ended.
bool job_runner::retry(job& running, time_point now)
{
    if (running.has_ended() || !running.what.idempotent)
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
