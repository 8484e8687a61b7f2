#include "cell_runner.hpp"

#include "decision_log.hpp"
#include "peer_wire.hpp"

#include <core/log.hpp>
#include <dispatch/resubmission_bounds.hpp>

#include <chrono>

namespace masticshift::gateway
{

namespace
{

/// Time after which a retiring dispatcher stops, even if runs remain. Nearly
/// all tasks of the deployments end within it.
constexpr milliseconds retire_limit{3'000};

/// How long a new dispatcher waits for the retiring one to release endpoints.
constexpr milliseconds release_limit{4'000};

/// A longer time between two steps means that the event loop is late.
constexpr milliseconds longest_punctual_step{100};

/// A longer time between two steps means that the process was paused.
constexpr milliseconds longest_step{300};

/// How often the waits of the claim are computed. Claims are sent each 100 ms.
constexpr milliseconds waits_interval{50};

/// How often learnt speeds are sent to a peer. They change slowly.
constexpr milliseconds speeds_interval{1'000};
constexpr milliseconds peer_timeout{400};

std::int64_t unix_seconds()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(now).count();
}

std::int64_t new_token(dispatch::peer_roster& roster)
{
    auto const token = roster.next_token(unix_seconds());
    roster.record_token(token);
    return token;
}

dispatch::dispatch_limits limits_of(config::gateway_bounds const& bounds)
{
    return {dispatch::lease_within(bounds.longest_lease), bounds.remote_factor,
            bounds.longest_lease};
}

} // namespace

cell_runner::cell_runner(gateway_state& state,
                         transport::http_client& endpoints,
                         peer_link::peer_client& peers,
                         asio::any_io_executor executor, dispatch::cell cell)
    : state_(state),
      endpoints_(endpoints),
      peers_(peers),
      executor_(std::move(executor)),
      cell_(std::move(cell.name)),
      data_centre_(std::move(cell.data_centre)),
      dispatcher_(std::make_unique<dispatch::dispatcher>(
          limits_of(state.settings.bounds), new_token(state.roster),
          [this](std::int64_t current)
          {
              return next_token(current);
          })),
      dispatching_since_(steady_clock::now())
{
    for (auto const& [vm, speed] : state_.learnt_speeds)
        dispatcher_->speeds().adopt(vm, speed);
    log_event(log_level::info, "dispatch_begun",
              {{"cell", cell_},
               {"token", dispatcher_->token()},
               {"list_age_ms", list_age_ms(dispatching_since_)}});
}

std::int64_t cell_runner::list_age_ms(time_point now) const
{
    auto const read = state_.registry.last_read();
    return read ? std::chrono::duration_cast<milliseconds>(now - *read).count()
                : -1;
}

std::int64_t cell_runner::next_token(std::int64_t current)
{
    // Another entry that dispatches the cell must not be outranked.
    auto const now = steady_clock::now();
    if (state_.roster.was_paused(now) ||
        state_.roster.has_other_dispatcher(cell_, now))
        return current;
    auto const raised = dispatch::raised_token(current);
    state_.roster.record_token(raised);
    return raised;
}

void cell_runner::step(time_point now)
{
    stepped_ = now;
    if (retiring_)
        hand_over();
    else
        advance_token(now);
    cancel_jobs_of_lost_origins(now);
    add_endpoints(now);
    dispatcher_->tick(now);
    flush();
    share_speeds(now);
}

void cell_runner::stop(time_point now)
{
    dispatcher_->end_all_jobs(now);
    flush();
    stopped_ = true;
    for (auto const& [id, wake] : watch_timers_)
        wake->cancel();
    auto const next = state_.roster.dispatcher_of(cell_, now);
    if (next && *next != state_.roster.self().address)
        asio::co_spawn(executor_,
                       send_release(shared_from_this(), *next, {}, true),
                       asio::detached);
    log_event(log_level::info, "dispatch_ended", {{"cell", cell_}});
}

void cell_runner::retire(time_point now)
{
    if (std::exchange(retiring_, true))
        return;
    retiring_since_ = now;
    dispatcher_->retire(now);
    log_event(log_level::info, "dispatch_retiring",
              {{"cell", cell_},
               {"jobs", dispatcher_->jobs()},
               {"runs", dispatcher_->runs()}});
    flush();
}

void cell_runner::hand_over()
{
    auto released = dispatcher_->release_idle();
    if (released.empty())
        return;
    for (auto const& endpoint : released)
    {
        watch_timers_.erase(endpoint);
        records_.erase(endpoint);
    }
    auto const next = state_.roster.dispatcher_of(cell_, steady_clock::now());
    if (next && *next != state_.roster.self().address)
        asio::co_spawn(
            executor_,
            send_release(shared_from_this(), *next, std::move(released), false),
            asio::detached);
}

bool cell_runner::is_handed_over(time_point now) const
{
    return retiring_ && (dispatcher_->endpoints() == 0 ||
                         now - retiring_since_ > retire_limit);
}

void cell_runner::advance_token(time_point now)
{
    dispatch::token_search::rejections const rejected{
        dispatcher_->outranked(),
        dispatcher_->outranked_since(token_search_.began())};
    if (!token_search_.is_due(rejected, now) || state_.roster.was_paused(now) ||
        state_.roster.has_other_dispatcher(cell_, now))
        return;
    auto const claim = token_search_.next_claim(
        dispatch::claim_number_of(dispatcher_->token()),
        dispatch::claim_number_at(unix_seconds()), now);
    auto const token = state_.roster.token_of_claim(claim);
    if (token <= dispatcher_->token())
        return;
    state_.roster.record_token(token);
    log_event(log_level::info, "token_raised",
              {{"cell", cell_},
               {"token", token},
               {"outranked", dispatcher_->outranked()}});
    dispatcher_->advance_token(token);
}

bool cell_runner::may_take(std::string const& endpoint, time_point now) const
{
    return all_released_ || released_.contains(endpoint) ||
           now - dispatching_since_ > release_limit ||
           !state_.roster.is_retiring(cell_, now);
}

void cell_runner::add_endpoints(time_point now)
{
    if (retiring_ || watch_timers_.size() == records_.size())
        return;
    for (auto const& [id, record] : records_)
    {
        if (watch_timers_.contains(id) || !may_take(id, now))
            continue;
        dispatcher_->update_endpoint(record);
        watch_timers_[id] = std::make_shared<asio::steady_timer>(executor_);
        asio::co_spawn(executor_, watch_endpoint(shared_from_this(), id),
                       asio::detached);
    }
}

void cell_runner::update_endpoint(dispatch::endpoint_record const& record)
{
    if (retiring_ && !watch_timers_.contains(record.id))
        return;
    records_[record.id] = record;
    if (watch_timers_.contains(record.id))
        dispatcher_->update_endpoint(record);
}

void cell_runner::use_records_until(time_point end, time_point now)
{
    dispatcher_->use_records_until(end);
    bool const held = now > end;
    if (std::exchange(starts_held_, held) != held)
        log_event(log_level::info, held ? "starts_held" : "starts_resumed",
                  {{"cell", cell_},
                   {"list_age_ms", list_age_ms(now)},
                   {"waiting_tasks", dispatcher_->waiting_tasks()}});
}

void cell_runner::set_evacuated(bool evacuated, time_point now)
{
    if (std::exchange(evacuated_, evacuated) == evacuated)
        return;
    log_event(log_level::info, evacuated ? "cell_evacuated" : "cell_restored",
              {{"cell", cell_},
               {"version", state_.evacuations.version()},
               {"jobs", dispatcher_->jobs()},
               {"runs", dispatcher_->runs()},
               {"waiting_tasks", dispatcher_->waiting_tasks()}});
    dispatcher_->set_evacuated(evacuated, now);
    flush();
}

void cell_runner::remove_endpoint(std::string const& id)
{
    records_.erase(id);
    watch_timers_.erase(id);
    dispatcher_->remove_endpoint(id);
}

void cell_runner::accept_released(std::vector<std::string> const& endpoints,
                                  bool last)
{
    released_.insert(endpoints.begin(), endpoints.end());
    all_released_ = all_released_ || last;
    if (retiring_)
        return;
    log_event(
        log_level::info, "endpoints_released",
        {{"cell", cell_}, {"endpoints", endpoints.size()}, {"last", last}});
    if (dispatcher_->outranked() > 0)
        dispatcher_->advance_token(new_token(state_.roster));
    auto const now = steady_clock::now();
    catch_up_after_pause(now);
    add_endpoints(now);
    flush();
}

dispatch::dispatch_claim cell_runner::claim(time_point now)
{
    dispatch::dispatch_claim claim;
    claim.cell = cell_;
    claim.token = dispatcher_->token();
    claim.endpoints = static_cast<std::int64_t>(dispatcher_->usable());
    claim.free_processor =
        dispatcher_->waiting_tasks() > 0 ? 0 : dispatcher_->free_processor(now);
    claim.backlog = std::chrono::ceil<milliseconds>(dispatcher_->backlog());
    claim.retiring = retiring_;
    // Visits the queue once for each priority.
    if (now - waits_updated_ >= waits_interval)
    {
        waits_updated_ = now;
        waits_ = dispatcher_->expected_waits(now);
    }
    claim.waits = waits_;
    claim.largest_free_processor = dispatcher_->largest_free_processor();
    claim.evacuated = evacuated_;
    return claim;
}

void cell_runner::share_speeds(time_point now)
{
    if (now - speeds_shared_ < speeds_interval)
        return;
    speeds_shared_ = now;
    for (auto const& [vm, speed] : dispatcher_->speeds().speeds())
        state_.learnt_speeds[vm] = speed;
    if (auto const peer = state_.roster.next_live_peer(now))
        asio::co_spawn(executor_, send_speeds(shared_from_this(), *peer),
                       asio::detached);
}

asio::awaitable<void> cell_runner::send_speeds(self_ptr self, std::string peer)
{
    wire::share_speeds content;
    for (auto const& [vm, speed] : self->dispatcher_->speeds().speeds())
    {
        wire::learnt_speed row;
        row.vm = vm;
        row.speed = speed;
        content.speeds.push_back(row);
    }
    auto message = peer_link::make_message(std::move(content));
    // No retry: the next message carries all speeds again.
    co_await call_peer(self->peers_, peer, std::move(message),
                       steady_clock::now() + peer_timeout);
}

asio::awaitable<void>
cell_runner::send_release(self_ptr self, std::string peer,
                          std::vector<std::string> endpoints, bool last)
{
    wire::release_endpoints content;
    content.endpoints = std::move(endpoints);
    content.last = last;
    content.cell = self->cell_;
    auto message = peer_link::make_message(std::move(content));
    auto const result =
        co_await call_peer(self->peers_, peer, std::move(message),
                           steady_clock::now() + peer_timeout);
    // Without this message the new dispatcher takes the endpoints when this
    // entry's claim ends, or after `release_limit`.
    if (!result)
        log_event(log_level::warning, "release_failed",
                  {{"peer", peer}, {"detail", result.error().error.detail}});
}

asio::awaitable<dispatch::job_result>
cell_runner::run_job(self_ptr self, dispatch::job_spec job,
                     dispatch::entry_identity origin, time_point sent_after)
{
    auto const now = steady_clock::now();
    // It may have been sent before the pause, and be withdrawn by now.
    if (self->is_resuming(now))
        co_return dispatch::job_result{dispatch::job_end::refused,
                                       dispatch::end_reason::not_dispatcher};
    // A start renews the lease of all runs on its endpoint.
    self->drop_unwanted_jobs(now);
    job_key const key{job.id, origin_name(origin)};
    auto const waiting = std::make_shared<waiting_job>(
        self->executor_, origin, job.submission, sent_after);
    auto const earlier = self->waiting_.find(key);
    if (earlier != self->waiting_.end())
    {
        // Submissions over different connections may overtake each other.
        if (earlier->second->submission > job.submission)
            co_return dispatch::job_result{dispatch::job_end::refused,
                                           dispatch::end_reason::superseded};
        earlier->second->result = dispatch::job_result{
            dispatch::job_end::unknown, dispatch::end_reason::superseded};
        earlier->second->ended.cancel();
    }
    self->waiting_[key] = waiting;
    self->dispatcher_->submit(std::move(job), key.second, now);
    self->flush();
    while (!waiting->result)
        co_await waiting->ended.async_wait(as_values);
    co_return *waiting->result;
}

void cell_runner::withdraw(std::string const& id,
                           dispatch::entry_identity const& origin,
                           std::int64_t submission)
{
    auto const now = steady_clock::now();
    catch_up_after_pause(now);
    auto const waiting = waiting_.find({id, origin_name(origin)});
    if (waiting != waiting_.end() && waiting->second->submission > submission)
        return;
    dispatcher_->withdraw(id, origin_name(origin), now);
    flush();
}

bool cell_runner::cancel(std::string const& id)
{
    auto const now = steady_clock::now();
    hold_starts_after_pause(now);
    bool const found = dispatcher_->cancel(id, now);
    flush();
    return found;
}

void cell_runner::cancel_jobs_of_lost_origins(time_point now)
{
    if (now - origins_checked_ < dispatch::origin_check_interval)
        return;
    origins_checked_ = now;
    std::map<std::string, dispatch::entry_identity> lost;
    for (auto const& [key, job] : waiting_)
    {
        if (!job->result && !lost.contains(key.second) &&
            !state_.roster.wants_job(job->origin, job->sent_after, now))
            lost.emplace(key.second, job->origin);
    }
    for (auto const& [name, origin] : lost)
    {
        auto const age = state_.roster.origins().age(origin, now);
        log_event(log_level::info, "jobs_of_lost_peer_cancelled",
                  {{"cell", cell_},
                   {"peer", name},
                   {"alive", state_.roster.is_alive(origin, now)},
                   {"reading_age_ms", age ? to_milliseconds(*age) : -1}});
        dispatcher_->cancel_jobs_of_origin(name, now);
    }
    flush();
}

void cell_runner::catch_up_after_pause(time_point now)
{
    hold_starts_after_pause(now);
    if (is_resuming(now))
        origins_checked_ = {};
    drop_unwanted_jobs(now);
}

void cell_runner::hold_starts_after_pause(time_point now)
{
    if (!state_.evacuation_reads.is_usable(now))
        dispatcher_->use_records_until(time_point::min());
}

void cell_runner::drop_unwanted_jobs(time_point now)
{
    // `step` follows more often than this.
    if (now - stepped_ > longest_punctual_step)
        state_.callers.ask_if_late(now - stepped_, now);
    cancel_jobs_of_lost_origins(now);
}

bool cell_runner::is_resuming(time_point now) const
{
    return now - stepped_ > longest_step;
}

void cell_runner::deliver(dispatch::finished_job const& job)
{
    // A superseded result belongs to an earlier submission with the same id and
    // origin, which `run_job` has already ended. It must not end the new one.
    auto const found = waiting_.find({job.id, job.origin});
    if (found == waiting_.end() || found->second->result)
        return;
    auto const superseded =
        job.result.reason == dispatch::end_reason::superseded;
    if (superseded && dispatcher_->has_job(job.id, job.origin))
        return;
    auto const waiting = found->second;
    waiting_.erase(found);
    waiting->result = job.result;
    waiting->ended.cancel();
}

void cell_runner::flush()
{
    for (auto& order : dispatcher_->take_starts())
    {
        state_.metrics.starts.add();
        state_.recovery.reach(recovery_phase::first_placement,
                              steady_clock::now());
        asio::co_spawn(executor_,
                       send_start(shared_from_this(), std::move(order)),
                       asio::detached);
    }
    for (auto& order : dispatcher_->take_stops())
    {
        state_.metrics.stops.add();
        asio::co_spawn(executor_,
                       send_stop(shared_from_this(), std::move(order)),
                       asio::detached);
    }
    for (auto const& job : dispatcher_->take_finished())
        deliver(job);
    for (auto const& id : dispatcher_->take_endpoints_to_poll())
    {
        auto const found = watch_timers_.find(id);
        if (found != watch_timers_.end())
            found->second->cancel();
    }
    log_decisions(dispatcher_->take_decisions());
}

} // namespace masticshift::gateway
