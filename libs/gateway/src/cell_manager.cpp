#include "cell_manager.hpp"

#include "peer_wire.hpp"

#include <core/log.hpp>
#include <platform/run_codec.hpp>

#include <algorithm>

namespace masticshift::gateway
{

namespace
{

/// Interval between iterations of `run` while a cell has runs or the process
/// has just started, and otherwise.
constexpr milliseconds busy_tick{10};
constexpr milliseconds idle_tick{50};

/// How often to look for peers that have ended.
constexpr milliseconds ended_peers_interval{50};

/// How often records are asked for while the one of a new process is missing.
constexpr milliseconds record_request_interval{100};

/// A reachable endpoint responds within a millisecond.
constexpr milliseconds probe_timeout{200};

/// Endpoints of a cell that are probed in turn while all of them respond.
constexpr std::size_t most_probed = 3;

} // namespace

asio::awaitable<void> cell_manager::run()
{
    executor_ = co_await asio::this_coro::executor;
    for (;;)
    {
        auto const now = steady_clock::now();
        state_.input.observe(now);
        state_.evacuation_reads.observe(now);
        log_evacuations_read(now);
        log_ended_peers(now);
        apply_registry_changes(now);
        update_roles(now);
        bool busy = false;
        for (auto const& [name, cell] : cells_)
        {
            cell->step(now);
            busy = busy || cell->dispatcher().runs() > 0 ||
                   cell->is_searching_token();
        }
        request_records(now);
        update_claims();
        update_metrics(now);
        observe_recovery(now);
        busy = busy || state_.recovery.is_starting(now);
        co_await pause(busy ? busy_tick : idle_tick);
    }
}

void cell_manager::log_ended_peers(time_point now)
{
    if (now - ended_peers_taken_ < ended_peers_interval)
        return;
    ended_peers_taken_ = now;
    for (auto const& ended : state_.roster.take_ended_entries(now))
        log_event(
            log_level::info, "peer_lost",
            {{"peer", ended.address}, {"incarnation", ended.incarnation}});
}

void cell_manager::apply_registry_changes(time_point now)
{
    auto const changes = state_.registry.take_changes(now);
    for (auto const& id : changes.removed)
    {
        log_event(log_level::info, "endpoint_gone", {{"endpoint", id}});
        records_.erase(id);
        for (auto const& [name, cell] : cells_)
            cell->remove_endpoint(id);
    }
    for (auto const& record : changes.updated)
    {
        if (record.stage == dispatch::endpoint_stage::draining)
            log_event(log_level::info, "endpoint_draining",
                      {{"endpoint", record.id}});
        records_[record.id] = record;
    }
    update_layout(!changes.updated.empty() || !changes.removed.empty(), now);
    for (auto const& record : changes.updated)
    {
        auto const found = cells_.find(layout_.cell_of(record));
        if (found != cells_.end())
            found->second->update_endpoint(record);
    }
    records_usable_until_ = state_.registry.usable_until(now);
    for (auto const& [name, cell] : cells_)
        limit_starts(*cell, now);
}

void cell_manager::limit_starts(cell_runner& cell, time_point now) const
{
    cell.set_evacuated(state_.evacuations.contains(cell.data_centre()), now);
    cell.use_records_until(state_.evacuation_reads.is_usable(now)
                               ? records_usable_until_
                               : time_point::min(),
                           now);
}

void cell_manager::log_evacuations_read(time_point now)
{
    bool const read = state_.evacuation_reads.is_usable(now);
    if (std::exchange(evacuations_read_, read) != read)
        log_event(log_level::info,
                  read ? "evacuations_read" : "evacuations_unread",
                  {{"version", state_.evacuations.version()}});
}

void cell_manager::update_layout(bool endpoints_changed, time_point now)
{
    std::vector<std::string> dispatched;
    for (auto const& each : state_.roster.dispatchers(now))
        dispatched.push_back(each.claim.cell);
    auto counts = dispatch::cell_layout::counts_of(dispatched);
    if (!endpoints_changed && counts == cell_counts_)
        return;
    cell_counts_ = std::move(counts);
    std::vector<dispatch::endpoint_record> all;
    for (auto const& [id, record] : records_)
        all.push_back(record);
    layout_ = dispatch::cell_layout(all, cell_counts_);
}

void cell_manager::update_roles(time_point now)
{
    for (auto const& cell : layout_.cells())
    {
        if (state_.roster.should_claim(cell.name, cell.data_centre, now))
            take_over(cell, now);
        else if (state_.roster.should_probe(cell.name, cell.data_centre, now) &&
                 probing_.insert(cell.name).second)
            asio::co_spawn(executor_, probe(*this, cell), asio::detached);
    }
    for (auto each = cells_.begin(); each != cells_.end();)
    {
        auto const& [name, cell] = *each;
        auto const known =
            std::ranges::find(layout_.cells(), name, &dispatch::cell::name);
        if (known == layout_.cells().end() ||
            state_.roster.should_retire(name, known->data_centre, now))
            cell->retire(now);
        if (cell->is_handed_over(now))
        {
            cell->stop(now);
            each = cells_.erase(each);
            continue;
        }
        ++each;
    }
}

std::optional<dispatch::endpoint_record>
cell_manager::next_endpoint_to_probe(std::string const& cell)
{
    std::vector<dispatch::endpoint_record> all;
    for (auto const& [id, record] : records_)
    {
        if (layout_.cell_of(record) == cell)
            all.push_back(record);
    }
    if (all.empty())
        return std::nullopt;
    // Each endpoint more costs a connection.
    auto const turn = probe_turn_++ % most_probed;
    return all[(first_probed_ + turn) % all.size()];
}

asio::awaitable<void> cell_manager::probe(cell_manager& self,
                                          dispatch::cell cell)
{
    // An endpoint rejects a token below the highest that it has seen, so this
    // order does not affect the current dispatcher, if there is one.
    dispatch::list_order const lowest_token_order{};
    auto const endpoint = self.next_endpoint_to_probe(cell.name);
    bool answered = false;
    if (endpoint)
    {
        auto request = platform::encode_list(lowest_token_order, endpoint->id);
        auto const result = co_await self.endpoints_.call(
            endpoint->ip, endpoint->port, std::move(request),
            steady_clock::now() + probe_timeout);
        answered = result.has_value();
        if (!answered)
            ++self.first_probed_;
    }
    self.state_.roster.record_probe(cell.name, answered, steady_clock::now());
    co_await pause(probe_timeout);
    self.probing_.erase(cell.name);
}

void cell_manager::take_over(dispatch::cell const& cell, time_point now)
{
    auto const runner = std::make_shared<cell_runner>(state_, endpoints_,
                                                      peers_, executor_, cell);
    limit_starts(*runner, now);
    cells_[cell.name] = runner;
    for (auto const& [id, record] : records_)
    {
        if (layout_.cell_of(record) == cell.name)
            runner->update_endpoint(record);
    }
    update_claims();
    announce_claims();
    if (on_records_needed_)
        on_records_needed_();
}

void cell_manager::announce_claims()
{
    if (on_claims_changed_)
        on_claims_changed_();
}

void cell_manager::request_records(time_point now)
{
    if (!on_records_needed_ ||
        now - records_requested_ < record_request_interval)
        return;
    bool const needed = std::ranges::any_of(
        cells_,
        [&](auto const& each)
        {
            return each.second->dispatcher().needs_records(now);
        });
    if (!needed)
        return;
    records_requested_ = now;
    on_records_needed_();
}

void cell_manager::stop(time_point now)
{
    for (auto const& [name, cell] : cells_)
        cell->stop(now);
    cells_.clear();
    update_claims();
}

void cell_manager::update_claims()
{
    auto const now = steady_clock::now();
    std::vector<dispatch::dispatch_claim> claims;
    for (auto const& [name, cell] : cells_)
        claims.push_back(cell->claim(now));
    state_.roster.set_claims(std::move(claims));
}

void cell_manager::update_metrics(time_point now)
{
    std::size_t endpoints = 0;
    std::size_t waiting = 0;
    std::size_t runs = 0;
    std::size_t evacuated = 0;
    for (auto const& [name, cell] : cells_)
    {
        evacuated += cell->evacuated() ? 1 : 0;
        endpoints += cell->dispatcher().usable();
        waiting += cell->dispatcher().waiting_tasks();
        runs += cell->dispatcher().runs();
    }
    auto& metrics = state_.metrics;
    metrics.live_peers.set(static_cast<double>(state_.roster.alive_count(now)));
    metrics.endpoints.set(static_cast<double>(endpoints));
    metrics.waiting_tasks.set(static_cast<double>(waiting));
    metrics.runs.set(static_cast<double>(runs));
    metrics.evacuated_cells.set(static_cast<double>(evacuated));
    metrics.evacuated_data_centres.set(
        static_cast<double>(state_.evacuations.data_centres().size()));
    metrics.evacuations_unread.set(state_.evacuation_reads.is_usable(now) ? 0
                                                                          : 1);
}

void cell_manager::observe_recovery(time_point now)
{
    auto& recovery = state_.recovery;
    auto const reach_if = [&](bool condition, recovery_phase phase)
    {
        if (condition)
            recovery.reach(phase, now);
    };
    reach_if(state_.configuration_version != 0,
             recovery_phase::configuration_read);
    reach_if(state_.registry.last_read().has_value(),
             recovery_phase::endpoints_read);
    reach_if(state_.roster.alive_count(now) > 0, recovery_phase::first_peer);
    reach_if(!state_.roster.dispatchers(now).empty(),
             recovery_phase::first_claim);
    reach_if(!cells_.empty(), recovery_phase::cell_taken);
    std::size_t listed = 0;
    std::size_t endpoints = 0;
    for (auto const& [name, cell] : cells_)
    {
        listed += cell->dispatcher().usable();
        endpoints += cell->dispatcher().endpoints();
    }
    bool const was_starting = recovery.is_starting(now);
    recovery.record_listed(listed, endpoints, now);
    // The claim has the number of endpoints that can be used.
    if (was_starting && !recovery.is_starting(now) && !cells_.empty())
        announce_claims();
    if (!recovery.has_ended(now))
        return;
    boost::json::object fields;
    for (std::size_t i = 0; i < recovery_phase_count; ++i)
    {
        auto const phase = static_cast<recovery_phase>(i);
        auto const reached = recovery.reached(phase);
        auto const ms = reached ? reached->count() : -1;
        fields[name_of(phase)] = ms;
        state_.metrics.recovery_milliseconds(name_of(phase))
            .set(static_cast<double>(ms));
    }
    log_event(log_level::info, "recovered", std::move(fields));
}

asio::awaitable<dispatch::job_result>
cell_manager::run_job(std::string const& cell, dispatch::job_spec job,
                      dispatch::entry_identity const& origin,
                      time_point sent_after)
{
    if (submissions_.is_withdrawn(origin_name(origin), job.id, job.submission,
                                  steady_clock::now()))
    {
        log_event(log_level::info, "submission_refused",
                  {{"job", job.id},
                   {"origin", origin.address},
                   {"submission", job.submission},
                   {"reason", name_of(dispatch::end_reason::withdrawn)}});
        co_return dispatch::job_result{dispatch::job_end::refused,
                                       dispatch::end_reason::withdrawn};
    }
    // An earlier submission may have been started, so it is not refused.
    if (state_.cancelled.contains(job.id, steady_clock::now()))
        co_return dispatch::job_result{dispatch::job_end::cancelled,
                                       dispatch::end_reason::cancelled};
    auto const found = cells_.find(cell);
    if (found == cells_.end())
        co_return dispatch::job_result{dispatch::job_end::refused,
                                       dispatch::end_reason::not_dispatcher};
    co_return co_await cell_runner::run_job(found->second, std::move(job),
                                            origin, sent_after);
}

void cell_manager::withdraw(std::string const& cell, std::string const& id,
                            dispatch::entry_identity const& origin,
                            std::int64_t submission)
{
    submissions_.record_withdrawal(origin_name(origin), id, submission,
                                   steady_clock::now());
    auto const found = cells_.find(cell);
    if (found != cells_.end())
        found->second->withdraw(id, origin, submission);
}

bool cell_manager::cancel(std::string const& id, time_point requested,
                          time_point now)
{
    state_.cancelled.record(id, requested, now);
    for (auto const& [name, cell] : cells_)
    {
        if (cell->cancel(id))
            state_.cancelled.record_known(id);
    }
    return state_.cancelled.was_known(id);
}

void cell_manager::accept_released(std::string const& cell,
                                   std::vector<std::string> const& endpoints,
                                   bool last)
{
    auto const found = cells_.find(cell);
    if (found != cells_.end())
        found->second->accept_released(endpoints, last);
}

} // namespace masticshift::gateway
