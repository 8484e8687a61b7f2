#ifndef MASTICSHIFT_PLACEMENT_ENGINE_IMPL_HPP
#define MASTICSHIFT_PLACEMENT_ENGINE_IMPL_HPP

#include "admission_check.hpp"
#include "borrow_pacing.hpp"
#include "fleet.hpp"
#include "loan_table.hpp"
#include "seconds.hpp"
#include "status_report.hpp"

#include <placement/engine.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace masticshift::placement
{

/// A hash that stands for one incarnation of a borrower in `slot_state`.
std::uint32_t borrower_key(std::string_view borrower, std::int64_t incarnation);

template <placement_policy Policy>
class engine<Policy>::impl
{
public:
    explicit impl(engine_settings settings);

    void configure(config::operator_configuration const& text, time_point now);
    void set_entries(std::vector<live_entry> const& live, time_point now);
    admission admit(job_request const& request, time_point now);
    std::vector<assignment> place(time_point now);
    void finished(task_ref ref, task_result result, duration took,
                  time_point now);
    bool requeue(task_ref ref, time_point now);
    std::vector<task_ref> cancel(std::uint64_t id, time_point now);
    std::vector<borrow_request> take_borrow_requests(time_point now);
    std::vector<loan> lend(std::string_view service, unsigned count,
                           std::uint32_t borrower, time_point now);
    void accept_loans(std::string_view lender, std::vector<loan> const& loans,
                      time_point now);
    std::optional<time_point> next_event() const;
    std::vector<service_load> load() const;
    engine_status status(time_point now) const;

private:
    friend class engine<Policy>;

    /// A task and the slot to start it on.
    struct choice
    {
        std::uint32_t task = 0;
        slot_choice target;
        placement_reason reason = placement_reason::fastest_free;
    };

    job_state* find_job(std::uint64_t id);
    job_state make_job(job_request const& request, service_state& service,
                       time_point now) const;
    void enqueue(job_state& job);
    void update_queue_after_removal(job_state& job, std::uint32_t tasks,
                                    double work);
    void erase_if_ended(job_state& job);
    service_state* most_urgent(std::vector<service_state*>& waiting) const;
    std::optional<assignment> place_one(service_state& service, time_point now);
    std::optional<choice> choose(job_state& job, time_point now);
    bool should_wait_for_faster(job_state& job, double work,
                                slot_choice const& target, time_point now);
    std::optional<choice> choose_last(job_state& job, time_point now) const;
    assignment make_assignment(job_state const& job, choice const& chosen,
                               time_point now) const;
    assignment start(job_state& job, choice const& chosen, time_point now);
    void record_deferral(time_point until);

    engine_settings settings_;
    fleet all_;
    borrow_pacing pacing_;
    loan_table loans_;
    std::unordered_map<std::uint64_t, job_state> jobs_;
    std::uint64_t next_sequence_ = 0;
    /// When the first task that waits for a faster slot stops waiting.
    std::optional<time_point> deferred_until_;
};

template <placement_policy Policy>
engine<Policy>::impl::impl(engine_settings settings)
    : settings_(std::move(settings)),
      all_(settings_, Policy::order),
      pacing_(settings_),
      loans_(all_, settings_)
{
    set_entries({}, time_point{});
}

template <placement_policy Policy>
void engine<Policy>::impl::configure(config::operator_configuration const& text,
                                     time_point now)
{
    all_.configure(text, now);
    auto const own = text.data_centres.find(settings_.data_centre);
    if (own != text.data_centres.end())
        pacing_.set_nearest(own->second.nearest);
}

template <placement_policy Policy>
void engine<Policy>::impl::set_entries(std::vector<live_entry> const& live,
                                       time_point now)
{
    std::vector<entry_share> shares;
    for (auto const& entry : live)
    {
        if (entry.address != settings_.address)
            shares.push_back({entry.address, entry.data_centre, entry.weight});
    }
    shares.push_back(
        {settings_.address, settings_.data_centre, settings_.weight});
    all_.set_entries(std::move(shares), now);
    pacing_.set_entries(live);
}

template <placement_policy Policy>
job_state* engine<Policy>::impl::find_job(std::uint64_t id)
{
    auto const found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

template <placement_policy Policy>
admission engine<Policy>::impl::admit(job_request const& request,
                                      time_point now)
{
    auto* service = all_.find(request.service);
    if (service == nullptr)
        return {result_code::unknown_service,
                "there is no service '" + request.service + "'"};
    if (request.sizes.empty())
        return {result_code::malformed_request, "the job has no tasks"};
    if (jobs_.contains(request.job))
        return {result_code::internal, "the job number is already in use"};
    all_.wake(now);
    auto result = check_service(all_, *service, request.sizes.size(), now);
    if (!result.accepted())
        return result;
    auto new_job = make_job(request, *service, now);
    result = check_deadline(*service, new_job, request.deadline,
                            loans_.borrowed_count(now), now);
    if (!result.accepted())
        return result;
    auto& job = jobs_.emplace(request.job, std::move(new_job)).first->second;
    job.sequence = next_sequence_++;
    ++service->jobs;
    service->queued_tasks += job.queued();
    service->queued_work += job.remaining;
    enqueue(job);
    return result;
}

template <placement_policy Policy>
job_state engine<Policy>::impl::make_job(job_request const& request,
                                         service_state& service,
                                         time_point now) const
{
    std::vector<task_state> tasks;
    tasks.reserve(request.sizes.size());
    for (auto const size : request.sizes)
    {
        task_state task;
        task.log_size = run_time_model::log_size_of(size);
        task.work = static_cast<float>(service.model.predict(task.log_size));
        tasks.push_back(task);
    }
    job_state job(request.job, service, std::move(tasks),
                  Policy::longest_first);
    job.admitted = now;
    job.expected_end = now;
    return job;
}

template <placement_policy Policy>
void engine<Policy>::impl::enqueue(job_state& job)
{
    job.position = job.service.queue.insert(job, job.remaining, job.admitted,
                                            job.sequence);
}

template <placement_policy Policy>
void engine<Policy>::impl::update_queue_after_removal(job_state& job,
                                                      std::uint32_t tasks,
                                                      double work)
{
    auto& service = job.service;
    service.queued_tasks -= tasks;
    service.queued_work -= work;
    if (service.queued_tasks == 0)
        service.queued_work = 0;
    if (job.queued() == 0)
        service.queue.erase(job.position);
    else
        job.position =
            service.queue.update(job.position, job.remaining, job.admitted);
}

template <placement_policy Policy>
std::vector<assignment> engine<Policy>::impl::place(time_point now)
{
    all_.wake(now);
    deferred_until_.reset();
    std::vector<service_state*> waiting;
    for (auto const& service : all_.services())
    {
        if (!service->queue.empty() && service->has_startable())
            waiting.push_back(service.get());
    }
    std::vector<assignment> result;
    while (auto* service = most_urgent(waiting))
    {
        if (auto placed = place_one(*service, now))
            result.push_back(*placed);
        else
            std::erase(waiting, service);
    }
    return result;
}

// The service whose first job is the most urgent. Services share endpoints, so
// their jobs compete. Removes services that can't start a task.
template <placement_policy Policy>
service_state*
engine<Policy>::impl::most_urgent(std::vector<service_state*>& waiting) const
{
    std::erase_if(waiting,
                  [](service_state const* service)
                  {
                      return service->queue.empty() ||
                             !service->has_startable();
                  });
    auto const first = std::ranges::min_element(
        waiting,
        [](service_state const* a, service_state const* b)
        {
            return *a->queue.begin() < *b->queue.begin();
        });
    return first == waiting.end() ? nullptr : *first;
}

template <placement_policy Policy>
std::optional<assignment>
engine<Policy>::impl::place_one(service_state& service, time_point now)
{
    // Jobs behind the first are tried when no free slot suits it.
    constexpr unsigned max_jobs = 4;
    unsigned tried = 0;
    for (auto const& queued : service.queue)
    {
        if (auto const chosen = choose(*queued.job, now))
            return start(*queued.job, *chosen, now);
        if (++tried == max_jobs)
            break;
    }
    return std::nullopt;
}

template <placement_policy Policy>
auto engine<Policy>::impl::choose(job_state& job, time_point now)
    -> std::optional<choice>
{
    auto const first = job.first();
    double const work = job.tasks[first].work;
    auto const target = job.service.fastest(work, now);
    if constexpr (Policy::leaves_slow_idle)
    {
        if (target && should_wait_for_faster(job, work, *target, now))
            return choose_last(job, now);
    }
    if (target)
        return choice{first, *target, placement_reason::fastest_free};
    return choose_last(job, now);
}

template <placement_policy Policy>
bool engine<Policy>::impl::should_wait_for_faster(job_state& job, double work,
                                                  slot_choice const& target,
                                                  time_point now)
{
    // Waiting must be predicted to save at least 10 %, since predictions are
    // uncertain.
    constexpr double max_time_ratio = 0.9;
    double const run_seconds = work / target.speed;
    if (now + from_seconds(run_seconds) <= job.expected_end)
        return false;
    double const seconds_when_waiting =
        job.service.end_when_waiting(work, target.speed);
    if (seconds_when_waiting >= run_seconds * max_time_ratio)
        return false;
    if (!job.deferred_since)
        job.deferred_since = now;
    // Bounds the wait, since stragglers may occupy the faster slots for long.
    auto const limit = *job.deferred_since + from_seconds(run_seconds);
    if (now >= limit)
        return false;
    record_deferral(limit);
    return true;
}

template <placement_policy Policy>
void engine<Policy>::impl::record_deferral(time_point until)
{
    if (!deferred_until_ || until < *deferred_until_)
        deferred_until_ = until;
}

// Tries the last task of the job, the shortest one with `longest_first`: it may
// end in time on a slot that is too slow for the longest task.
template <placement_policy Policy>
auto engine<Policy>::impl::choose_last(job_state& job, time_point now) const
    -> std::optional<choice>
{
    auto const last = job.last();
    if (last == job.first())
        return std::nullopt;
    double const work = job.tasks[last].work;
    auto const target = job.service.fastest(work, now);
    if (!target)
        return std::nullopt;
    double const longest = job.tasks[job.first()].work;
    auto const end = now + from_seconds(work / target->speed);
    auto const job_end =
        now + from_seconds(longest / job.service.best_speed(now));
    if (end > std::max(job_end, job.expected_end))
        return std::nullopt;
    return choice{last, *target, placement_reason::slow_without_delay};
}

template <placement_policy Policy>
assignment engine<Policy>::impl::make_assignment(job_state const& job,
                                                 choice const& chosen,
                                                 time_point now) const
{
    auto const& member = job.service.members[chosen.target.member];
    auto const& slot = member.endpoint->slots[chosen.target.slot];
    auto const& task = job.tasks[chosen.task];
    assignment result;
    result.task = {job.id, chosen.task};
    result.endpoint = &member.endpoint->config;
    result.slot = chosen.target.slot;
    result.borrowed = slot.borrowed;
    result.attempt = task.attempts + 1U;
    result.predicted = from_seconds(task.work / chosen.target.speed);
    result.reason = chosen.reason;
    if (slot.borrowed && result.reason == placement_reason::fastest_free)
        result.reason = placement_reason::fastest_borrowed;
    if (member.health.state(now) == health_state::probing)
        result.reason = placement_reason::probe;
    return result;
}

template <placement_policy Policy>
assignment engine<Policy>::impl::start(job_state& job, choice const& chosen,
                                       time_point now)
{
    auto const result = make_assignment(job, chosen, now);
    auto& endpoint = *job.service.members[chosen.target.member].endpoint;
    auto& slot = endpoint.slots[chosen.target.slot];
    auto& task = job.tasks[chosen.task];
    task.member = chosen.target.member;
    task.slot = static_cast<std::uint16_t>(chosen.target.slot);
    ++task.attempts;
    job.start(chosen.task);
    job.expected_end = std::max(job.expected_end, now + result.predicted);
    job.deferred_since.reset();
    update_queue_after_removal(job, 1, task.work);
    slot.busy = true;
    slot.used = true;
    job.service.record_start(chosen.target.member);
    all_.refresh(endpoint, now);
    return result;
}

template <placement_policy Policy>
void engine<Policy>::impl::finished(task_ref ref, task_result result,
                                    duration took, time_point now)
{
    auto* job = find_job(ref.job);
    if (job == nullptr || ref.task >= job->tasks.size())
        return;
    auto& task = job->tasks[ref.task];
    if (task.phase != task_phase::running)
        return;
    auto& service = job->service;
    auto& member = service.members[task.member];
    auto const half_run_time = service.mean_run_time(member) / 2;
    member.endpoint->free_slot(task.slot, half_run_time, now);
    if (result == task_result::refused_not_run)
        member.endpoint->yield_slot(task.slot, half_run_time, now);
    service.record_end(task.member);
    member.health.record(result, ref.job, service.failures, now);
    if (result == task_result::ok)
        service.learn(task.member, task.log_size, took);
    all_.refresh(*member.endpoint, now);
    service.reorder_if_due(now);
    --job->running;
    bool const undecided = certainly_not_started(result) && !job->cancelled;
    task.phase = undecided ? task_phase::undecided : task_phase::ended;
    job->undecided += undecided ? 1 : 0;
    erase_if_ended(*job);
}

template <placement_policy Policy>
void engine<Policy>::impl::erase_if_ended(job_state& job)
{
    if (!job.has_ended())
        return;
    auto& service = job.service;
    --service.jobs;
    jobs_.erase(job.id);
    all_.drop_if_unused(service);
}

template <placement_policy Policy>
bool engine<Policy>::impl::requeue(task_ref ref, time_point)
{
    auto* job = find_job(ref.job);
    if (job == nullptr || job->cancelled || ref.task >= job->tasks.size())
        return false;
    auto& task = job->tasks[ref.task];
    if (task.phase != task_phase::undecided ||
        task.attempts >= settings_.max_attempts)
        return false;
    bool const was_queued = job->queued() > 0;
    --job->undecided;
    job->requeue(ref.task);
    auto& service = job->service;
    ++service.queued_tasks;
    service.queued_work += task.work;
    if (was_queued)
        job->position =
            service.queue.update(job->position, job->remaining, job->admitted);
    else
        enqueue(*job);
    return true;
}

template <placement_policy Policy>
std::vector<task_ref> engine<Policy>::impl::cancel(std::uint64_t id, time_point)
{
    std::vector<task_ref> running;
    auto* job = find_job(id);
    if (job == nullptr)
        return running;
    job->cancelled = true;
    job->undecided = 0;
    for (std::uint32_t i = 0; i < job->tasks.size(); ++i)
    {
        if (job->tasks[i].phase == task_phase::running)
            running.push_back({id, i});
    }
    if (job->queued() > 0)
    {
        double const work = job->remaining;
        auto const dropped = job->drop_queued();
        update_queue_after_removal(*job, dropped, work);
    }
    erase_if_ended(*job);
    return running;
}

template <placement_policy Policy>
std::vector<borrow_request>
engine<Policy>::impl::take_borrow_requests(time_point now)
{
    std::vector<borrow_request> result;
    if constexpr (!Policy::lends)
        return result;
    pacing_.expire(now);
    for (auto const& service : all_.services())
    {
        if (service->retired || service->queued_tasks == 0)
            continue;
        if (service->has_startable() && !Policy::borrows_for_speed)
            continue;
        auto const count = static_cast<unsigned>(service->queued_tasks);
        auto const calls = pacing_.make_calls(service->config.name, count, now);
        result.insert(result.end(), calls.begin(), calls.end());
    }
    return result;
}

template <placement_policy Policy>
std::vector<loan>
engine<Policy>::impl::lend(std::string_view name, unsigned count,
                           std::uint32_t borrower, time_point now)
{
    if constexpr (!Policy::lends)
        return {};
    all_.wake(now);
    auto* service = all_.find(name);
    if (service == nullptr)
        return {};
    return loans_.lend(*service, count, borrower, now);
}

template <placement_policy Policy>
void engine<Policy>::impl::accept_loans(std::string_view lender,
                                        std::vector<loan> const& loans,
                                        time_point now)
{
    auto const granted = static_cast<unsigned>(loans.size());
    auto const call_time = pacing_.record_response(lender, granted);
    // Without the time of the call, the end of the loans is unknown.
    if (call_time)
        loans_.accept_loans(lender, loans, *call_time, now);
}

template <placement_policy Policy>
std::optional<time_point> engine<Policy>::impl::next_event() const
{
    std::optional<time_point> next = all_.next_wake();
    for (auto const& other : {deferred_until_, pacing_.next_expiry()})
    {
        if (other && (!next || *other < *next))
            next = other;
    }
    return next;
}

template <placement_policy Policy>
std::vector<service_load> engine<Policy>::impl::load() const
{
    std::vector<service_load> result;
    for (auto const& service : all_.services())
    {
        if (service->retired)
            continue;
        unsigned const idle = Policy::lends ? loans_.idle_slots(*service) : 0;
        auto const queued = static_cast<unsigned>(service->queued_tasks);
        result.push_back({service->config.name, idle, queued});
    }
    return result;
}

template <placement_policy Policy>
engine_status engine<Policy>::impl::status(time_point now) const
{
    return report_status(all_, Policy::name, now);
}

} // namespace masticshift::placement

#endif
