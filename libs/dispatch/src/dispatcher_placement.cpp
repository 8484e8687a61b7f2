#include "dispatcher_impl.hpp"

#include <algorithm>

namespace masticshift::dispatch
{

namespace
{

/// Number of lost runs of a task after which the job ends with the next loss.
/// Detecting each takes up to the length of a lease.
constexpr int max_lost_runs = 2;

/// Run numbers skipped when an endpoint has seen a later run of the task, from
/// an earlier submission of the job. Such a submission starts a task only a few
/// times.
constexpr std::int64_t run_number_skip = 8;

/// A job with `only_if_idle` must be expected to end within this fraction of
/// the time to its objective; otherwise it is refused, so that a cell with
/// faster idle endpoints gets it. The margin allows for declared run times,
/// which are off by some 40 %.
constexpr double idle_finish_fraction = 0.75;

/// How often a start order without a response is sent again. A run for which
/// all of them got none is stopped.
constexpr int max_start_repeats = 3;

/// Interval at which an unconfirmed stop is sent again. More than ten round
/// trips.
constexpr milliseconds stop_resend_interval{100};

/// Whether the run ended because this dispatcher stopped it.
bool was_stopped(finished_run const& finished)
{
    return finished.run.unwanted &&
           (finished.end == run_end::stopped ||
            (!finished.end && finished.run.stop_confirmed));
}

} // namespace

std::int64_t dispatcher::impl::largest_free() const
{
    std::int64_t largest = -1;
    for (auto const& [id, account] : accounts_)
    {
        if (account->takes_work())
            largest = std::max(largest, account->free().processor);
    }
    return largest;
}

time_point dispatcher::impl::idle_finish_by(tracked_job const& job,
                                            time_point now) const
{
    return now + std::chrono::duration_cast<duration>((job.objective - now) *
                                                      idle_finish_fraction);
}

bool dispatcher::impl::can_start_all(tracked_job const& job,
                                     time_point finish_by, time_point now) const
{
    if (evacuated_ || now > records_usable_until_)
        return false;
    placement_choice const choice(accounts_, speeds_, limits_.remote_factor);
    for (std::size_t number = 0; number < job.spec.steps.size(); ++number)
    {
        auto const& step = job.spec.steps[number];
        if (!step.after.empty())
            continue;
        auto const places = choice.free_places(
            job, step, static_cast<int>(number), finish_by, now);
        if (places < step.task_count)
            return false;
    }
    return true;
}

void dispatcher::impl::place(time_point now)
{
    if (evacuated_)
    {
        end_evacuated_jobs(now);
        return;
    }
    if (queue_.jobs().empty() || now > records_usable_until_)
        return;
    auto largest = largest_free();
    std::size_t waiting_without_room = 0;
    std::vector<job_ptr> placed;
    std::vector<job_ptr> started;
    queue_.visit(
        [&](auto const& each) -> std::optional<double>
        {
            auto const& [key, job] = each;
            auto const& step = job->spec.steps.front();
            if (largest <= 0)
            {
                ++waiting_without_room;
                return std::nullopt;
            }
            if (job->spec.steps.size() == 1 && step.need.processor > largest)
            {
                ++waiting_without_room;
                return 0.0;
            }
            // A late job must not take capacity from jobs that are in time,
            // unless all its first tasks can start.
            if (key.rank == wait_class::late &&
                !can_start_all(*job, time_point::max(), now))
                return 0.0;
            auto const before = job->waiting_tasks;
            auto const work = to_milliseconds(waiting_work(*job));
            place_job(job, now);
            if (job->waiting_tasks == before)
                return 0.0;
            largest = largest_free();
            if (job->waiting_tasks == 0)
                placed.push_back(job);
            else if (key.rank != wait_class::started)
                started.push_back(job);
            if (key.rank != wait_class::in_time)
                return 0.0;
            auto const taken = work * (before - job->waiting_tasks) / before;
            queue_.charge(key.priority, taken);
            return taken;
        });
    // While an average task fits, only unusually large ones have no room.
    if (demand_.mixed() && waiting_without_room > 0 && largest < average_need_)
        observe_full(now);
    for (auto const& job : placed)
        queue_.remove(*job);
    for (auto const& job : started)
        enqueue(job, now);
}

void dispatcher::impl::place_job(job_ptr const& job, time_point now)
{
    std::set<int> full_steps;
    for (std::size_t i = 0; i < job->tasks.size(); ++i)
    {
        auto const& task = job->tasks[i];
        if (task.phase != task_phase::waiting ||
            full_steps.contains(task.step) || live_runs_.contains(task.name))
            continue;
        if (!place_task(job, i, now))
            full_steps.insert(task.step);
    }
}

bool dispatcher::impl::place_task(job_ptr const& job, std::size_t index,
                                  time_point now)
{
    auto& task = job->tasks[index];
    auto const& step = job->spec.steps[static_cast<std::size_t>(task.step)];
    placement_choice const choice(accounts_, speeds_, limits_.remote_factor);
    bool const late = now > job->objective - chain_time(job->spec);
    auto const finish_by = late ? time_point::max() : job->objective;
    run_history history;
    history.alone = crash_history_.crashes(task.name) > 0;
    if (!task.avoided.empty() &&
        choice.has_other_than(task.avoided, *job, step))
        history.avoided = task.avoided;
    auto const place =
        choice.choose(*job, step, task.step, finish_by, now, history);
    if (place.endpoint == nullptr)
        return false;
    task.phase = task_phase::placed;
    task.endpoint = place.endpoint->record().id;
    --job->waiting_tasks;
    job->start_ordered = true;
    run_key const key{task.name, ++task.last_run};
    placed_run run;
    run.job = job;
    run.task = index;
    run.need = step.need;
    run.alone = history.alone;
    run.expected = place.expected;
    run.cold = place.endpoint->record().is_cold(now);
    auto const until = place.endpoint->add_run(key, run, now);
    ++live_runs_[task.name];
    starts_.push_back({task.endpoint, key, job->spec.payload, until,
                       place.endpoint->token(),
                       place.endpoint->process_started_ms()});
    endpoints_to_poll_.insert(task.endpoint);
    record_decision("task_placed", *job, task.name, task.endpoint, "ordered",
                    to_milliseconds(place.expected));
    decisions_.back().process_started_ms = place.endpoint->process_started_ms();
    return true;
}

void dispatcher::impl::stop_run(endpoint_account& account, run_key const& key,
                                time_point now)
{
    auto const found = account.runs().find(key);
    if (found == account.runs().end())
        return;
    auto& run = found->second;
    run.unwanted = true;
    run.stop_sent = now;
    std::erase_if(starts_,
                  [&](start_order const& order)
                  {
                      return order.run == key &&
                             order.endpoint == account.record().id;
                  });
    if (account.link() == endpoint_link::outranked)
        return;
    stops_.push_back({account.record().id, key, account.token()});
    endpoints_to_poll_.insert(account.record().id);
}

void dispatcher::impl::resend_stops(endpoint_account& account, time_point now)
{
    std::vector<run_key> due;
    for (auto const& [key, run] : account.runs())
    {
        if (run.unwanted && !run.stop_confirmed &&
            now - run.stop_sent > stop_resend_interval)
            due.push_back(key);
    }
    for (auto const& key : due)
        stop_run(account, key, now);
}

void dispatcher::impl::run_ended(endpoint_account& account,
                                 finished_run const& finished, time_point now)
{
    auto const live = live_runs_.find(finished.key.task);
    if (live != live_runs_.end() && --live->second == 0)
        live_runs_.erase(live);
    // Counts also for a job that has ended: its caller may submit it again.
    bool const crashed =
        !finished.end && finished.run.crash != crash_evidence::none;
    if (crashed)
        crash_history_.record(finished.key.task, finished.run.crash, now);
    auto const& job = finished.run.job;
    if (!job || job->ended)
        return;
    if (crashed)
        task_crashed(finished, now);
    else if (finished.end == run_end::done)
        task_done(account, finished, now);
    else if (finished.end == run_end::failed)
        task_failed(account, finished, now);
    else if (was_stopped(finished))
        task_stopped(finished, now);
    else
        task_lost(finished, now);
}

void dispatcher::impl::task_done(endpoint_account& account,
                                 finished_run const& finished, time_point now)
{
    auto const& job = finished.run.job;
    auto& task = job->tasks[finished.run.task];
    auto const& step = job->spec.steps[static_cast<std::size_t>(task.step)];
    record_success(account);
    // A cold endpoint's run time says nothing of its VM.
    if (!finished.run.cold)
        speeds_.observe(job->spec.queue, account.record().vm, step.estimate,
                        now - finished.run.ordered);
    record_decision("task_ended", *job, finished.key.task, account.record().id,
                    "done", to_milliseconds(now - finished.run.ordered));
    finish_task(*job, task);
    if (job->open_tasks == 0)
        finish(job, {job_end::completed, end_reason::none}, now);
    else if (job->waiting_tasks > 0)
        enqueue(job, now);
}

void dispatcher::impl::task_failed(endpoint_account& account,
                                   finished_run const& finished, time_point now)
{
    auto const& job = finished.run.job;
    auto& task = job->tasks[finished.run.task];
    record_failure(account, endpoint_failure::run_failed, now);
    ++task.failed_runs;
    record_decision("task_ended", *job, finished.key.task, account.record().id,
                    "failed", task.failed_runs);
    if (task.failed_runs >= job->spec.max_attempts)
        finish(job, {job_end::failed, end_reason::attempts_exhausted}, now);
    else
        requeue_task(job, finished.run.task, now);
}

void dispatcher::impl::task_stopped(finished_run const& finished,
                                    time_point now)
{
    auto const& job = finished.run.job;
    record_decision("task_ended", *job, finished.key.task,
                    job->tasks[finished.run.task].endpoint, "stopped",
                    finished.run.percent);
    requeue_task(job, finished.run.task, now);
}

void dispatcher::impl::task_lost(finished_run const& finished, time_point now)
{
    auto const& job = finished.run.job;
    auto& task = job->tasks[finished.run.task];
    ++task.lost_runs;
    record_decision("task_ended", *job, finished.key.task, task.endpoint,
                    finished.end ? name_of(*finished.end) : "lost",
                    task.lost_runs);
    if (task.lost_runs > max_lost_runs)
        finish(job, {job_end::unknown, end_reason::endpoint_lost}, now);
    else
        requeue_task(job, finished.run.task, now);
}

void dispatcher::impl::task_crashed(finished_run const& finished,
                                    time_point now)
{
    auto const& job = finished.run.job;
    record_decision("task_ended", *job, finished.key.task,
                    job->tasks[finished.run.task].endpoint,
                    name_of(finished.run.crash),
                    crash_history_.crashes(finished.key.task));
    if (!give_up_crashing(job, now))
        requeue_task(job, finished.run.task, now);
}

bool dispatcher::impl::give_up_crashing(job_ptr const& job, time_point now)
{
    bool failed = false;
    bool unknown = false;
    for (auto const& task : job->tasks)
    {
        auto const verdict = crash_history_.verdict(task.name);
        failed = failed || verdict == crash_verdict::failed;
        unknown = unknown || verdict == crash_verdict::unknown;
    }
    if (!failed && !unknown)
        return false;
    finish(job,
           {failed ? job_end::failed : job_end::unknown,
            end_reason::endpoints_crashed},
           now);
    return true;
}

void dispatcher::impl::requeue_task(job_ptr const& job, std::size_t index,
                                    time_point now)
{
    auto& task = job->tasks[index];
    task.phase = task_phase::waiting;
    task.endpoint.clear();
    ++job->waiting_tasks;
    enqueue(job, now);
}

void dispatcher::impl::discard_start(endpoint_account& account,
                                     run_key const& key, time_point now)
{
    auto finished = account.remove(key);
    if (!finished)
        return;
    auto const live = live_runs_.find(key.task);
    if (live != live_runs_.end() && --live->second == 0)
        live_runs_.erase(live);
    if (finished->run.job && !finished->run.job->ended)
        requeue_task(finished->run.job, finished->run.task, now);
}

void dispatcher::impl::start_unanswered(endpoint_account& account,
                                        run_key const& key, placed_run& run,
                                        time_point now)
{
    if (account.health().unanswered())
        record_failure(account, endpoint_failure::unanswered, now);
    account.record_call_failure(now);
    bool const wanted = !run.unwanted && run.job && !run.job->ended;
    if (!wanted || evacuated_ || ++run.unanswered_starts > max_start_repeats ||
        account.link() != endpoint_link::active)
    {
        stop_run(account, key, now);
        return;
    }
    // The endpoint starts a run once, however often it is told to.
    starts_.push_back({account.record().id, key, run.job->spec.payload,
                       account.repeat_start(run, now), account.token(),
                       account.process_started_ms()});
}

void dispatcher::impl::start_answered(
    start_order const& order, order_response response,
    std::optional<std::int64_t> endpoint_clock, time_point now)
{
    auto* const account = find(order.endpoint);
    if (account == nullptr)
        return;
    // A response to an order from before the last token may come from a process
    // that has ended since, or carry its clock.
    bool const outdated = order.token < account->token();
    if (endpoint_clock && !outdated)
    {
        account->record_clock(*endpoint_clock, now);
        account->record_response(now);
    }
    if (response == order_response::unanswered)
        account->record_unanswered_start(now);
    auto const found = account->runs().find(order.run);
    if (found == account->runs().end())
        return;
    auto& run = found->second;
    if (!order.bound && (response == order_response::accepted ||
                         response == order_response::unanswered))
        account->record_unbound_start(run, now);
    stop_starts_at(*account, response, now);
    if (run.job && response != order_response::accepted)
        record_decision("start_answered", *run.job, order.run.task,
                        order.endpoint, name_of(response),
                        to_milliseconds(now - run.ordered));
    switch (response)
    {
    case order_response::accepted:
        account->health().answered();
        if (run.phase == run_phase::starting && !outdated)
        {
            run.phase = run_phase::running;
            run.confirmed = now;
        }
        return;
    case order_response::unanswered:
        start_unanswered(*account, order.run, run, now);
        return;
    case order_response::outranked:
        if (!outdated)
            account->record_outranked();
        break;
    case order_response::run_too_old:
        if (run.job)
            run.job->tasks[run.task].last_run += run_number_skip;
        break;
    case order_response::no_room:
        account->list_again();
        endpoints_to_poll_.insert(order.endpoint);
        break;
    case order_response::malformed:
        if (run.job && run.unanswered_starts == 0 &&
            ++run.job->tasks[run.task].failed_runs >=
                run.job->spec.max_attempts)
        {
            auto const job = run.job;
            discard_start(*account, order.run, now);
            finish(job, {job_end::failed, end_reason::attempts_exhausted}, now);
            return;
        }
        break;
    case order_response::unidentified:
        // Nothing more is placed there until it has answered a list.
        account->list_again();
        endpoints_to_poll_.insert(order.endpoint);
        if (account->health().unanswered())
            record_failure(*account, endpoint_failure::unanswered, now);
        account->record_call_failure(now);
        break;
    case order_response::other_instance:
        endpoints_to_poll_.insert(order.endpoint);
        [[fallthrough]];
    case order_response::unhealthy:
    case order_response::connection_refused:
    case order_response::not_sent:
        record_failure(*account, endpoint_failure::order_refused, now);
        account->record_call_failure(now);
        break;
    case order_response::too_late:
    case order_response::outdated:
        break;
    }
    // An earlier order for the same run, without a response, may have been
    // carried out, or may be so later.
    if (run.unanswered_starts > 0)
        stop_run(*account, order.run, now);
    else
        discard_start(*account, order.run, now);
    place(now);
}

void dispatcher::impl::stop_answered(stop_order const& order,
                                     order_response response, time_point now)
{
    auto* const account = find(order.endpoint);
    if (account == nullptr)
        return;
    stop_starts_at(*account, response, now);
    bool const outdated = order.token < account->token();
    if (response == order_response::outranked && !outdated)
        account->record_outranked();
    auto const found = account->runs().find(order.run);
    if (found == account->runs().end())
        return;
    if (response == order_response::unanswered)
        stop_run(*account, order.run, now);
    if (response != order_response::accepted || outdated)
        return;
    account->record_response(now);
    found->second.stop_confirmed = now;
    endpoints_to_poll_.insert(order.endpoint);
}

} // namespace masticshift::dispatch
