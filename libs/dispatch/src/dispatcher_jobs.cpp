#include "dispatcher_impl.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace masticshift::dispatch
{

namespace
{

/// The expected wait of a job is checked again after this part (a quarter) of
/// the time to its objective, so that a refusal still comes early.
constexpr int recheck_divisor = 4;

/// The least part of the capacity by which a shortage is taken to decrease.
/// More arrives than can be served at times, and the shortage ends later with
/// the arrivals.
constexpr double min_drain_rate = 0.2;

/// Longer than any job waits.
constexpr std::chrono::hours started_lead{1};

/// Bound of the number of expected waits, as in a claim.
constexpr int max_claimed_waits = 8;

/// The average need of a task covers about this many tasks.
constexpr int need_samples = 16;

/// Bounds of `retry_after` in refusals.
constexpr milliseconds min_retry_after{200};
constexpr milliseconds max_retry_after{5'000};

/// `retry_after` when all endpoints of the cell are leaving: they are replaced
/// within seconds.
constexpr milliseconds leaving_retry_after{2'000};

/// How long the ids of completed jobs are kept. Callers resend a job 1.3 s
/// after a lost answer, and sometimes seconds after an answer that arrived.
constexpr milliseconds completed_retention{15'000};

/// A refusal after this time costs the caller more than an earlier one.
time_point early_end(tracked_job const& job)
{
    return job.accepted + (job.objective - job.accepted) / recheck_divisor;
}

job_result refused(end_reason reason, duration wait)
{
    auto const pause =
        std::clamp(std::chrono::duration_cast<milliseconds>(wait),
                   min_retry_after, max_retry_after);
    return {job_end::refused, reason, pause};
}

} // namespace

duration dispatcher::impl::chain_time(job_spec const& spec) const
{
    std::vector<duration> ends;
    duration longest{0};
    for (auto const& step : spec.steps)
    {
        duration start{0};
        for (auto const earlier : step.after)
            start = std::max(start, ends[static_cast<std::size_t>(earlier)]);
        ends.push_back(start + speeds_.expected(spec.queue, step.estimate));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

void dispatcher::impl::record_completed(std::string const& id, time_point now)
{
    if (completed_ids_.insert(id).second)
        completed_.emplace_back(now, id);
    while (!completed_.empty() &&
           now - completed_.front().first > completed_retention)
    {
        completed_ids_.erase(completed_.front().second);
        completed_.pop_front();
    }
}

bool dispatcher::impl::was_completed(std::string const& id) const
{
    return completed_ids_.contains(id);
}

bool dispatcher::impl::has_live_runs(tracked_job const& job) const
{
    return std::ranges::any_of(job.tasks,
                               [&](auto const& task)
                               {
                                   return live_runs_.contains(task.name);
                               });
}

void dispatcher::impl::submit(job_spec spec, std::string origin, time_point now)
{
    if (was_completed(spec.id))
    {
        finished_.push_back({spec.id,
                             std::move(origin),
                             {job_end::completed, end_reason::none},
                             now});
        return;
    }
    auto const known = jobs_.find(spec.id);
    if (known != jobs_.end())
    {
        auto const earlier = known->second;
        finish(earlier, {job_end::unknown, end_reason::superseded}, now);
    }
    for (auto const& step : spec.steps)
        record_need(step.need.processor);
    auto job = make_job(std::move(spec), std::move(origin), next_job_++, now);
    auto const chain = chain_time(job->spec);
    job->objective =
        job->accepted +
        std::chrono::duration_cast<duration>(chain * job->spec.slack_factor) +
        job->spec.target_latency;
    jobs_[job->spec.id] = job;
    if (give_up_crashing(job, now))
        return;
    if (now >= job->deadline)
    {
        finish(job, refused(end_reason::out_of_time, min_retry_after), now);
        return;
    }
    if (retiring_)
    {
        finish(job, {job_end::refused, end_reason::not_dispatcher}, now);
        return;
    }
    if (evacuated_)
    {
        finish(job, {job_end::refused, end_reason::evacuated}, now);
        return;
    }
    // Elsewhere it would start beside its former runs.
    if (job->spec.only_if_idle && !has_live_runs(*job) &&
        !can_start_all(*job, idle_finish_by(*job, now), now))
    {
        finish(job, {job_end::refused, end_reason::busy_cell}, now);
        return;
    }
    // Its position in the queue decides how long it would wait.
    enqueue(job, now);
    auto const refusal = refusal_of(*job, now);
    if (refusal)
    {
        finish(job, *refusal, now);
        return;
    }
    demand_.add(job->spec.priority, to_milliseconds(waiting_work(*job)), now);
    place(now);
    displace(*job, now);
}

std::optional<job_result> dispatcher::impl::refusal_of(tracked_job const& job,
                                                       time_point now)
{
    placement_choice const choice(accounts_, speeds_, limits_.remote_factor);
    if (!accounts_.empty())
    {
        for (auto const& step : job.spec.steps)
        {
            if (!choice.ever_fits(job, step))
                return refused(end_reason::never_fits, max_retry_after);
        }
    }
    bool const all_leave =
        !accounts_.empty() &&
        std::ranges::all_of(accounts_,
                            [](auto const& each)
                            {
                                return each.second->record().stage !=
                                       endpoint_stage::ready;
                            });
    if (all_leave)
        return refused(end_reason::overloaded, leaving_retry_after);
    auto const slack = job.objective - now - chain_time(job.spec);
    auto const wait = estimated_wait(job, slack, now);
    if (wait > slack && !can_start_all(job, time_point::max(), now))
        return refused(end_reason::overloaded,
                       time_to_drain(wait - slack, now));
    return std::nullopt;
}

duration dispatcher::impl::estimated_wait(tracked_job const& job,
                                          duration slack, time_point now) const
{
    auto const capacity = usable_processor();
    if (capacity <= 0 || slack <= duration(0))
        return {};
    expected_wait wait;
    queue_.visit(
        [&](auto const& each) -> std::optional<double>
        {
            if (each.second.get() == &job || wait.total > 2 * slack)
                return std::nullopt;
            return add_ahead(wait, each.first, *each.second, job.spec.priority,
                             capacity);
        });
    return with_arrivals(wait, job.spec.priority, capacity, now);
}

double dispatcher::impl::add_ahead(expected_wait& wait,
                                   wait_queue::key const& key,
                                   tracked_job const& ahead, int priority,
                                   std::int64_t capacity) const
{
    auto const work = waiting_work(ahead);
    wait.total += work / capacity;
    if (key.rank == wait_class::started)
        wait.started += work / capacity;
    else if (ahead.spec.priority == priority)
        wait.own_class += work / capacity;
    return to_milliseconds(work);
}

duration dispatcher::impl::with_arrivals(expected_wait const& wait,
                                         int priority, std::int64_t capacity,
                                         time_point now) const
{
    if (!demand_.mixed() || wait.own_class == duration(0))
        return wait.total;
    auto const all = static_cast<double>(capacity);
    auto const rate = demand_.rate(priority, all, now);
    auto const own_class =
        std::chrono::duration_cast<duration>(wait.own_class * (all / rate));
    return std::max(wait.total, wait.started + own_class);
}

duration dispatcher::impl::wait_of_new(int priority, time_point now) const
{
    auto const capacity = usable_processor();
    if (capacity <= 0)
        return {};
    expected_wait wait;
    queue_.visit_ahead_of_new(priority,
                              [&](auto const& each) -> std::optional<double>
                              {
                                  return add_ahead(wait, each.first,
                                                   *each.second, priority,
                                                   capacity);
                              });
    return with_arrivals(wait, priority, capacity, now);
}

std::vector<milliseconds> dispatcher::impl::expected_waits(time_point now) const
{
    std::vector<milliseconds> waits;
    if (!demand_.mixed() || usable_processor() <= 0)
        return waits;
    auto const last = std::min(demand_.last_priority(), max_claimed_waits - 1);
    for (int priority = 0; priority < last; ++priority)
        waits.push_back(
            std::chrono::ceil<milliseconds>(wait_of_new(priority, now)));
    // The last one stands for all further priorities.
    waits.push_back(std::chrono::ceil<milliseconds>(
        wait_of_new(demand_.last_priority(), now)));
    return waits;
}

duration dispatcher::impl::time_to_drain(duration excess, time_point now) const
{
    auto const capacity = usable_processor();
    if (!demand_.mixed() || capacity <= 0)
        return excess;
    auto const load = demand_.total(now) / static_cast<double>(capacity);
    return std::chrono::duration_cast<duration>(
        excess / std::max(1 - load, min_drain_rate));
}

void dispatcher::impl::displace(tracked_job const& newcomer, time_point now)
{
    auto const capacity = usable_processor();
    // While starts are held, nothing shows whether waiting jobs would be late.
    if (newcomer.waiting_tasks == 0 || newcomer.ended || capacity <= 0 ||
        !demand_.mixed() || now > records_usable_until_)
        return;
    std::vector<std::pair<job_ptr, duration>> displaced;
    duration wait{0};
    bool behind = false;
    queue_.visit(
        [&](auto const& each) -> std::optional<double>
        {
            auto const& [key, job] = each;
            if (key.rank == wait_class::late)
                return std::nullopt;
            behind = behind || job.get() == &newcomer;
            auto const excess = now + wait - key.latest_start;
            if (behind && excess > duration(0) &&
                may_be_displaced(key, *job, newcomer, now))
            {
                displaced.emplace_back(job, excess);
                return 0.0;
            }
            auto const work = waiting_work(*job);
            wait += work / capacity;
            return to_milliseconds(work);
        });
    for (auto const& [job, excess] : displaced)
        finish(job, refused(end_reason::displaced, time_to_drain(excess, now)),
               now);
}

bool dispatcher::impl::may_be_displaced(wait_queue::key const& key,
                                        tracked_job const& job,
                                        tracked_job const& newcomer,
                                        time_point now) const
{
    return key.rank == wait_class::in_time && !job.start_ordered &&
           job.spec.priority > newcomer.spec.priority && now < early_end(job) &&
           !has_live_runs(job);
}

duration dispatcher::impl::retry_after_late(int priority, time_point now) const
{
    if (!demand_.mixed())
        return min_retry_after;
    return time_to_drain(wait_of_new(priority, now), now);
}

duration dispatcher::impl::backlog() const
{
    auto const capacity = usable_processor();
    if (capacity <= 0)
        return {};
    duration wait{0};
    for (auto const& [key, job] : queue_.jobs())
        wait += waiting_work(*job) / capacity;
    return wait;
}

std::int64_t dispatcher::impl::usable_processor() const
{
    std::int64_t processor = 0;
    double at_speed = 0;
    for (auto const& [id, account] : accounts_)
    {
        if (!account->takes_work() && !account->is_being_read())
            continue;
        auto const& record = account->record();
        processor += record.capacity.processor;
        if (demand_.mixed())
            at_speed += static_cast<double>(record.capacity.processor) *
                        speeds_.speed(record.vm);
    }
    if (!demand_.mixed())
        return processor;
    // Work counts with the run time at speed 1. Bounded, as speeds may be
    // learnt wrongly.
    return std::clamp(usable_capacity_.of(std::llround(at_speed)),
                      processor / 2, processor);
}

void dispatcher::impl::observe_full(time_point now)
{
    std::int64_t used = 0;
    std::int64_t sum = 0;
    for (auto const& [id, account] : accounts_)
    {
        if (!account->takes_work())
            continue;
        auto const all = account->record().capacity.processor;
        sum += all;
        used += all - std::max<std::int64_t>(account->free().processor, 0);
    }
    usable_capacity_.observe_full(used, sum, now);
}

duration dispatcher::impl::waiting_work(tracked_job const& job) const
{
    auto const& step = job.spec.steps.front();
    return speeds_.expected(job.spec.queue, step.estimate) *
           (step.need.processor * job.waiting_tasks);
}

void dispatcher::impl::record_need(std::int64_t processor)
{
    average_need_ =
        average_need_ == 0
            ? processor
            : average_need_ + (processor - average_need_) / need_samples;
}

std::int64_t dispatcher::impl::free_processor(time_point now) const
{
    auto const unit = std::max<std::int64_t>(average_need_, 1);
    std::int64_t free = 0;
    for (auto const& [id, account] : accounts_)
    {
        if (account->takes_work() &&
            account->health().trust(now) == endpoint_trust::full)
            free += account->free().processor / unit * unit;
    }
    return free;
}

void dispatcher::impl::enqueue(job_ptr const& job, time_point now)
{
    auto const latest_start = job->objective - chain_time(job->spec);
    auto const rank = job->start_ordered   ? wait_class::started
                      : now > latest_start ? wait_class::late
                                           : wait_class::in_time;
    // A started job comes first within its priority, but not before more urgent
    // ones that use less than their share.
    if (rank == wait_class::started && demand_.mixed())
        queue_.put(job, wait_class::in_time, latest_start - started_lead);
    else
        queue_.put(job, rank, latest_start);
}

void dispatcher::impl::finish(job_ptr const& job, job_result result,
                              time_point now)
{
    if (job->ended)
        return;
    job->ended = true;
    queue_.remove(*job);
    auto const known = jobs_.find(job->spec.id);
    if (known != jobs_.end() && known->second == job)
        jobs_.erase(known);
    if (result.end == job_end::completed)
        record_completed(job->spec.id, now);
    // A refused job may be sent to another dispatcher at once.
    if (result.end == job_end::refused &&
        (job->start_ordered || has_live_runs(*job)))
        result.end = job_end::unknown;
    for (auto const& task : job->tasks)
    {
        if (task.phase != task_phase::placed)
            continue;
        if (auto* const account = find(task.endpoint))
            stop_run(*account, {task.name, task.last_run}, now);
    }
    record_decision("job_ended", *job, {}, {}, name_of(result.reason),
                    to_milliseconds(now - job->accepted));
    decisions_.back().priority = job->spec.priority;
    finished_.push_back({job->spec.id, job->origin, result, job->accepted});
}

void dispatcher::impl::withdraw(std::string const& id,
                                std::string const& origin, time_point now)
{
    auto const found = jobs_.find(id);
    if (found == jobs_.end() || found->second->origin != origin)
        return;
    auto const job = found->second;
    finish(job, {job_end::refused, end_reason::withdrawn}, now);
    place(now);
}

bool dispatcher::impl::cancel(std::string const& id, time_point now)
{
    auto const found = jobs_.find(id);
    if (found == jobs_.end())
        return false;
    auto const job = found->second;
    bool const started = job->start_ordered || has_live_runs(*job);
    finish(job,
           {started ? job_end::cancelled : job_end::refused,
            end_reason::cancelled},
           now);
    place(now);
    return true;
}

void dispatcher::impl::cancel_jobs_of_origin(std::string const& origin,
                                             time_point now)
{
    std::vector<job_ptr> dropped;
    for (auto const& [id, job] : jobs_)
    {
        if (job->origin == origin)
            dropped.push_back(job);
    }
    for (auto const& job : dropped)
        finish(job, {job_end::refused, end_reason::withdrawn}, now);
    if (!dropped.empty())
        place(now);
}

void dispatcher::impl::end_all_jobs(time_point now)
{
    auto const all = jobs_;
    for (auto const& [id, job] : all)
        finish(job, {job_end::refused, end_reason::not_dispatcher}, now);
}

void dispatcher::impl::retire(time_point now)
{
    retiring_ = true;
    auto const all = jobs_;
    for (auto const& [id, job] : all)
    {
        if (!job->start_ordered)
            finish(job, {job_end::refused, end_reason::not_dispatcher}, now);
    }
}

void dispatcher::impl::set_evacuated(bool evacuated, time_point now)
{
    evacuated_ = evacuated;
    place(now);
}

void dispatcher::impl::end_evacuated_jobs(time_point now)
{
    std::vector<job_ptr> waiting;
    for (auto const& [key, job] : queue_.jobs())
        waiting.push_back(job);
    for (auto const& job : waiting)
        finish(job, {job_end::refused, end_reason::evacuated}, now);
}

void dispatcher::impl::check_waiting(time_point now)
{
    std::vector<job_ptr> due;
    std::vector<job_ptr> late;
    for (auto const& [key, job] : queue_.jobs())
    {
        // `place` has already tried to start the late job on idle endpoints.
        if (key.rank == wait_class::late)
            late.push_back(job);
        else if (key.rank == wait_class::in_time && !job->start_ordered &&
                 (now > key.latest_start ||
                  (!job->wait_checked && now >= early_end(*job))))
            due.push_back(job);
    }
    std::map<int, duration> retry_after;
    for (auto const& job : late)
    {
        auto const [known, added] =
            retry_after.try_emplace(job->spec.priority, 0);
        if (added)
            known->second = retry_after_late(job->spec.priority, now);
        finish(job, refused(end_reason::overloaded, known->second), now);
    }
    for (auto const& job : due)
    {
        if (!std::exchange(job->wait_checked, true))
        {
            if (auto const refusal = refusal_of(*job, now))
            {
                finish(job, *refusal, now);
                continue;
            }
        }
        enqueue(job, now);
    }
}

void dispatcher::impl::check_deadlines(time_point now)
{
    std::vector<job_ptr> due;
    for (auto const& [id, job] : jobs_)
    {
        if (now >= job->deadline)
            due.push_back(job);
    }
    for (auto const& job : due)
        finish(job, refused(end_reason::out_of_time, min_retry_after), now);
}

} // namespace masticshift::dispatch
