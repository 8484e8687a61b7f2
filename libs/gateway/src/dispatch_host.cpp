#include "dispatch_host.hpp"

#include "decision_log.hpp"
#include "peer_wire.hpp"

#include <core/log.hpp>

#include <chrono>

namespace masticshift::gateway
{

namespace
{

/// Time by which a dispatcher that retires has given up its endpoints. Nearly
/// all tasks of the deployments end within it.
constexpr milliseconds retire_limit{3'000};

/// Time in which a follower waits for the endpoints of a retiring dispatcher.
constexpr milliseconds release_limit{4'000};

/// Pause between two raises of the token, so that the answers to one are in.
constexpr milliseconds raise_interval{300};

/// Steps by time: while jobs run, and else.
constexpr milliseconds busy_tick{10};
constexpr milliseconds idle_tick{50};

/// Learnt speeds move slowly.
constexpr milliseconds speeds_interval{1'000};
constexpr milliseconds peer_timeout{400};

std::int64_t unix_seconds()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(now).count();
}

dispatch::dispatch_limits limits_of(config::gateway_bounds const& bounds)
{
    return {bounds.longest_lease, bounds.stop, bounds.remote_factor};
}

} // namespace

dispatch_host::dispatch_host(shared_state& state,
                             transport::http_client& endpoints,
                             peer_link::peer_client& peers)
    : state_(state), endpoints_(endpoints), peers_(peers)
{
}

dispatch_host::~dispatch_host() = default;

asio::awaitable<void> dispatch_host::run()
{
    executor_ = co_await asio::this_coro::executor;
    for (;;)
    {
        auto const now = steady_clock::now();
        update_role(now);
        if (dispatcher_)
        {
            feed_registry(now);
            dispatcher_->tick(now);
            flush();
            share_speeds(now);
        }
        update_metrics();
        bool const busy =
            dispatcher_ && (dispatcher_->jobs() > 0 || dispatcher_->runs() > 0);
        co_await pause(busy ? busy_tick : idle_tick);
    }
}

void dispatch_host::update_role(time_point now)
{
    for (auto const& ended : state_.roster.take_ended(now))
    {
        log_event(log_level::info, "peer_lost",
                  {{"peer", ended.address},
                   {"incarnation", ended.incarnation}});
        if (dispatcher_)
            dispatcher_->drop_origin(origin_name(ended), now);
    }
    if (!dispatcher_ && state_.roster.should_claim(now))
        begin(now);
    if (!dispatcher_)
        return;
    if (state_.roster.should_retire(now))
        retire(now);
    if (retiring_)
        hand_over(now);
    else
        raise_token(now);
    update_claim();
}

void dispatch_host::begin(time_point now)
{
    ++term_;
    begun_ = now;
    retiring_ = false;
    released_.clear();
    all_released_ = false;
    records_.clear();
    auto const token = state_.roster.next_token(unix_seconds());
    dispatcher_ = std::make_unique<dispatch::dispatcher>(
        limits_of(state_.settings.bounds), token);
    for (auto const& [vm, speed] : state_.learnt_speeds)
        dispatcher_->speeds().adopt(vm, speed);
    for (auto const& record : state_.registry.records())
        records_[record.id] = record;
    log_event(log_level::info, "dispatch_begun",
              {{"token", token}, {"endpoints", records_.size()}});
}

void dispatch_host::end(time_point now)
{
    dispatcher_->resign(now);
    flush();
    dispatcher_.reset();
    loops_.clear();
    ++term_;
    state_.roster.set_claim(std::nullopt);
    log_event(log_level::info, "dispatch_ended", {});
}

void dispatch_host::retire(time_point now)
{
    retiring_ = true;
    retiring_since_ = now;
    dispatcher_->retire(now);
    log_event(log_level::info, "dispatch_retiring",
              {{"jobs", dispatcher_->jobs()}, {"runs", dispatcher_->runs()}});
}

void dispatch_host::hand_over(time_point now)
{
    auto released = dispatcher_->release_idle();
    for (auto const& endpoint : released)
    {
        loops_.erase(endpoint);
        records_.erase(endpoint);
    }
    bool const over = dispatcher_->endpoints() == 0 ||
                      now - retiring_since_ > retire_limit;
    auto const next = state_.roster.dispatcher(now);
    if (next && *next != state_.roster.self().address &&
        (!released.empty() || over))
        asio::co_spawn(executor_,
                       send_release(*this, *next, std::move(released), over),
                       asio::detached);
    if (over)
        end(now);
}

void dispatch_host::raise_token(time_point now)
{
    if (dispatcher_->outranked() == 0 || state_.roster.has_rival(now) ||
        now - token_raised_ < raise_interval)
        return;
    token_raised_ = now;
    state_.roster.note_unknown_token();
    auto const token = state_.roster.next_token(unix_seconds());
    log_event(log_level::info, "token_raised",
              {{"token", token}, {"outranked", dispatcher_->outranked()}});
    dispatcher_->raise_token(token);
}

bool dispatch_host::may_take(std::string const& endpoint, time_point now) const
{
    return all_released_ || released_.contains(endpoint) ||
           now - begun_ > release_limit ||
           !state_.roster.retiring_dispatcher(now);
}

void dispatch_host::feed_registry(time_point now)
{
    auto const changes = state_.registry.take_changes(now);
    for (auto const& id : changes.removed)
    {
        log_event(log_level::info, "endpoint_gone", {{"endpoint", id}});
        records_.erase(id);
        dispatcher_->remove_endpoint(id, now);
    }
    if (retiring_)
        return;
    for (auto const& record : changes.updated)
    {
        records_[record.id] = record;
        if (loops_.contains(record.id))
            add_endpoint(record, now);
    }
    for (auto const& [id, record] : records_)
    {
        if (!loops_.contains(id) && may_take(id, now))
            add_endpoint(record, now);
    }
}

void dispatch_host::add_endpoint(dispatch::endpoint_record const& record,
                                 time_point now)
{
    dispatcher_->update_endpoint(record, now);
    auto& loop = loops_[record.id];
    if (loop)
        return;
    loop = std::make_unique<endpoint_loop>(executor_);
    asio::co_spawn(executor_, watch_endpoint(*this, record.id, term_),
                   asio::detached);
}

void dispatch_host::take_released(std::vector<std::string> const& endpoints,
                                  bool last)
{
    released_.insert(endpoints.begin(), endpoints.end());
    all_released_ = all_released_ || last;
    if (!dispatcher_ || retiring_)
        return;
    auto const now = steady_clock::now();
    log_event(log_level::info, "endpoints_released",
              {{"endpoints", endpoints.size()}, {"last", last}});
    if (dispatcher_->outranked() > 0)
        dispatcher_->raise_token(state_.roster.next_token(unix_seconds()));
    feed_registry(now);
    flush();
}

void dispatch_host::update_claim()
{
    if (!dispatcher_)
        return;
    dispatch::dispatch_claim claim;
    claim.token = dispatcher_->token();
    claim.endpoints = static_cast<std::int64_t>(dispatcher_->usable());
    claim.retiring = retiring_;
    state_.roster.set_claim(claim);
}

void dispatch_host::update_metrics()
{
    auto& metrics = state_.metrics;
    metrics.live_peers.set(static_cast<double>(
        state_.roster.alive_count(steady_clock::now())));
    metrics.endpoints.set(
        dispatcher_ ? static_cast<double>(dispatcher_->usable()) : 0);
    metrics.waiting_tasks.set(
        dispatcher_ ? static_cast<double>(dispatcher_->waiting_tasks()) : 0);
    metrics.runs.set(dispatcher_ ? static_cast<double>(dispatcher_->runs())
                                 : 0);
}

void dispatch_host::share_speeds(time_point now)
{
    if (now - speeds_shared_ < speeds_interval)
        return;
    speeds_shared_ = now;
    state_.learnt_speeds = dispatcher_->speeds().speeds();
    if (auto const peer = state_.roster.some_peer(now))
        asio::co_spawn(executor_, send_speeds(*this, *peer), asio::detached);
}

asio::awaitable<void> dispatch_host::send_speeds(dispatch_host& self,
                                                 std::string peer)
{
    wire::share_speeds content;
    for (auto const& [vm, speed] : self.state_.learnt_speeds)
    {
        wire::learnt_speed row;
        row.vm = vm;
        row.speed = speed;
        content.speeds.push_back(row);
    }
    auto message = peer_link::make_message(std::move(content));
    // A lost message is made up for by the next one.
    co_await call_peer(self.peers_, peer, std::move(message),
                       steady_clock::now() + peer_timeout);
}

asio::awaitable<void>
dispatch_host::send_release(dispatch_host& self, std::string peer,
                            std::vector<std::string> endpoints, bool last)
{
    wire::release_endpoints content;
    content.endpoints = std::move(endpoints);
    content.last = last;
    auto message = peer_link::make_message(std::move(content));
    auto const result =
        co_await call_peer(self.peers_, peer, std::move(message),
                           steady_clock::now() + peer_timeout);
    // The follower takes them by itself once this entry is gone.
    if (!result)
        log_event(log_level::warning, "release_failed",
                  {{"peer", peer}, {"detail", result.error().error.detail}});
}

asio::awaitable<dispatch::job_result>
dispatch_host::run_job(dispatch::job_spec job,
                       dispatch::entry_identity const& origin)
{
    if (!dispatcher_)
        co_return dispatch::job_result{dispatch::job_end::refused,
                                       dispatch::end_reason::not_dispatcher};
    job_key const key{job.id, origin_name(origin)};
    auto const waiting = std::make_shared<waiting_job>(executor_);
    auto const earlier = waiting_.find(key);
    if (earlier != waiting_.end())
    {
        earlier->second->result = dispatch::job_result{
            dispatch::job_end::unknown, dispatch::end_reason::superseded};
        earlier->second->ended.cancel();
    }
    waiting_[key] = waiting;
    dispatcher_->submit(std::move(job), key.second, steady_clock::now());
    flush();
    while (!waiting->result)
        co_await waiting->ended.async_wait(as_values);
    co_return *waiting->result;
}

void dispatch_host::withdraw(std::string const& id,
                             dispatch::entry_identity const& origin)
{
    if (!dispatcher_)
        return;
    dispatcher_->withdraw(id, origin_name(origin), steady_clock::now());
    flush();
}

void dispatch_host::deliver(dispatch::finished_job const& job)
{
    auto const found = waiting_.find({job.id, job.origin});
    if (found == waiting_.end())
        return;
    auto const waiting = found->second;
    // An earlier submission of the same id was told of its end already.
    if (job.result.reason == dispatch::end_reason::superseded)
        return;
    waiting_.erase(found);
    waiting->result = job.result;
    waiting->ended.cancel();
}

void dispatch_host::flush()
{
    for (auto& order : dispatcher_->take_starts())
    {
        state_.metrics.starts.add();
        asio::co_spawn(executor_, send_start(*this, std::move(order), term_),
                       asio::detached);
    }
    for (auto& order : dispatcher_->take_stops())
    {
        state_.metrics.stops.add();
        asio::co_spawn(executor_, send_stop(*this, std::move(order), term_),
                       asio::detached);
    }
    for (auto const& job : dispatcher_->take_finished())
        deliver(job);
    for (auto const& id : dispatcher_->take_wakened())
    {
        auto const found = loops_.find(id);
        if (found != loops_.end())
            found->second->wake.cancel();
    }
    log_decisions(dispatcher_->take_decisions());
}

} // namespace masticshift::gateway
