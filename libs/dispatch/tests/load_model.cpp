// The run of load_model, its cells, and its callers.

#include "load_model.hpp"

#include <algorithm>
#include <utility>

namespace masticshift::dispatch::testing
{

void load_model::add_traffic(job_kind const& kind, milliseconds time,
                             int data_centre)
{
    auto const until = now_ + time;
    schedule_arrival(kind, data_centre, until);
}

void load_model::replace(std::string const& endpoint, milliseconds drain_time)
{
    auto& old = endpoints_.at(endpoint);
    auto record = old.model.record();
    record.stage = endpoint_stage::draining;
    cells_[old.cell].tested->update_endpoint(record);
    auto const cell = old.cell;
    at(now_ + drain_time,
       [this, endpoint, cell]
       {
           endpoints_.at(endpoint).crashed = true;
           cells_[cell].tested->remove_endpoint(endpoint);
           add_endpoint(cell);
       });
}

std::vector<std::string> load_model::endpoints_of(std::size_t cell) const
{
    std::vector<std::string> found;
    for (auto const& [id, each] : endpoints_)
    {
        if (each.cell == cell && !each.crashed)
            found.push_back(id);
    }
    return found;
}

void load_model::run_for(milliseconds time)
{
    auto const until = now_ + time;
    while (!events_.empty() && events_.top().at <= until)
    {
        auto const next = events_.top();
        events_.pop();
        now_ = std::max(now_, next.at);
        next.action();
    }
    now_ = until;
}

void load_model::add_cell(int number, int endpoints)
{
    auto const data_centre = "dc" + std::to_string(number);
    modelled_cell cell;
    cell.name = data_centre + "/0/1";
    cell.data_centre = data_centre;
    cell.tested = std::make_unique<dispatcher>(dispatch_limits{}, token);
    cells_.push_back(std::move(cell));
    auto const index = cells_.size() - 1;
    for (int i = 0; i < endpoints; ++i)
        add_endpoint(index);
    tick(index);
    publish_claim(index);
}

void load_model::add_endpoint(std::size_t cell)
{
    auto const number = static_cast<std::size_t>(++endpoint_count_);
    auto const id = "e" + std::to_string(number);
    auto record = make_endpoint(id);
    record.data_centre = cells_[cell].data_centre;
    record.capacity.processor =
        options_.processors[(number - 1) % options_.processors.size()];
    record.capacity.memory_mb = 1'000'000;
    // Independent of the processors, whose number may be even too.
    auto const& speeds = options_.speeds;
    auto const speed =
        speeds[(number - 1) / options_.processors.size() % speeds.size()];
    modelled_endpoint added{endpoint_model(record), cell, speed, false, false};
    endpoints_.emplace(id, std::move(added));
    cells_[cell].tested->update_endpoint(record);
    flush(cell);
}

void load_model::tick(std::size_t cell)
{
    cells_[cell].tested->tick(now_);
    flush(cell);
    at(now_ + tick_interval,
       [this, cell]
       {
           tick(cell);
       });
}

void load_model::publish_claim(std::size_t number)
{
    auto& cell = cells_[number];
    cell.claim.cell = cell.name;
    cell.claim.token = token;
    cell.claim.free_processor = cell.tested->waiting_tasks() > 0
                                    ? 0
                                    : cell.tested->free_processor(now_);
    cell.claim.backlog =
        std::chrono::ceil<milliseconds>(cell.tested->backlog());
    at(now_ + claim_interval,
       [this, number]
       {
           publish_claim(number);
       });
}

void load_model::schedule_arrival(job_kind const& kind, int data_centre,
                                  time_point until)
{
    auto const gap =
        std::exponential_distribution<double>(kind.per_second)(random_);
    auto const next = now_ + std::chrono::duration_cast<duration>(
                                 std::chrono::duration<double>(gap));
    if (next > until)
        return;
    at(next,
       [this, kind, data_centre, until]
       {
           submit(kind, data_centre);
           schedule_arrival(kind, data_centre, until);
       });
}

double load_model::spread(double deviation)
{
    return deviation <= 0 ? 1
                          : std::exp(std::normal_distribution<double>(
                                0, deviation)(random_));
}

arrival load_model::draw(job_kind const& kind)
{
    arrival drawn;
    drawn.kind = kind.name;
    drawn.arrived = now_;
    auto const tasks = std::min(4.0, spread(kind.tasks_spread));
    drawn.tasks =
        std::max(1, static_cast<int>(std::lround(kind.tasks * tasks)));
    auto const processor = std::min(1.5, spread(kind.processor_spread));
    drawn.processor =
        std::llround(static_cast<double>(kind.processor) * processor);
    auto const longer = kind.long_part > 0 && chance(kind.long_part) ? 7 : 1;
    drawn.run_time = milliseconds(std::max<std::int64_t>(
        1, std::llround(to_milliseconds(kind.run_time) * longer *
                        spread(kind.run_time_spread))));
    auto const spec = make_spec("", 1);
    drawn.objective = now_ +
                      std::chrono::duration_cast<duration>(drawn.run_time *
                                                           spec.slack_factor) +
                      spec.target_latency;
    return drawn;
}

void load_model::submit(job_kind const& kind, int data_centre)
{
    auto const id = "job" + std::to_string(++job_count_);
    arrival const arrived = draw(kind);
    arrivals_.push_back(arrived);
    open_job job;
    job.spec = make_spec(id, arrived.tasks);
    job.spec.queue = kind.name;
    job.spec.priority = options_.one_priority ? 0 : kind.priority;
    job.spec.caller_timeout = kind.caller_timeout;
    job.spec.steps[0].need.processor = arrived.processor;
    // Declared run times are off by some 40 %.
    auto const error =
        std::exp(std::normal_distribution<double>(0, 0.4)(random_));
    run_times_[id] = arrived.run_time;
    job.spec.steps[0].estimate = milliseconds(std::max<std::int64_t>(
        1, std::llround(to_milliseconds(arrived.run_time) * error)));
    job.kind = kind.name;
    job.arrived = now_;
    job.objective = arrived.objective;
    job.data_centre = data_centre >= 0
                          ? data_centre
                          : static_cast<int>(job_count_ % cells_.size());
    jobs_[id] = std::move(job);
    route(id);
}

void load_model::route(std::string const& id)
{
    auto& job = jobs_.at(id);
    std::vector<cell_dispatcher> known;
    for (auto const& cell : cells_)
        known.push_back({cell.name, cell.claim});
    auto const choice = choose_cell(
        known, "dc" + std::to_string(job.data_centre), job.spec, job.tried);
    if (!choice)
    {
        end(id, job_end::refused);
        return;
    }
    job.spec.only_if_idle = choice->only_if_idle;
    job.spec.age = std::chrono::duration_cast<milliseconds>(now_ - job.arrived);
    job.cell = static_cast<std::size_t>(
        std::ranges::find(cells_, choice->cell, &modelled_cell::name) -
        cells_.begin());
    at(now_ + one_way,
       [this, id]
       {
           auto const& sent = jobs_.at(id);
           cells_[sent.cell].tested->submit(sent.spec, "home", now_);
           flush(sent.cell);
       });
}

void load_model::end(std::string const& id, job_end how)
{
    auto const job = jobs_.find(id);
    auto& counted = counts_[job->second.kind];
    if (how == job_end::completed)
        ++(now_ <= job->second.objective ? counted.in_time : counted.late);
    else if (how == job_end::refused)
        ++counted.refused;
    else
        ++counted.unknown;
    jobs_.erase(job);
}

void load_model::finished(finished_job const& ended)
{
    auto const job = jobs_.find(ended.id);
    if (job == jobs_.end())
        return;
    auto const reason = ended.result.reason;
    auto const& cell = cells_[job->second.cell].name;
    auto& tried = job->second.tried;
    if (reason == end_reason::busy_cell)
        tried.busy.insert(cell);
    else if (reason == end_reason::overloaded)
        tried.overloaded.insert(cell);
    else
    {
        end(ended.id, ended.result.end);
        return;
    }
    route(ended.id);
}

void load_model::flush(std::size_t number)
{
    auto& tested = *cells_[number].tested;
    for (auto const& order : tested.take_starts())
        send_start(number, order);
    for (auto const& order : tested.take_stops())
        send_stop(number, order);
    auto const ended = tested.take_finished();
    tested.take_decisions();
    for (auto const& id : tested.take_endpoints_to_poll())
    {
        if (endpoints_.contains(id) && !endpoints_.at(id).polled)
            poll(id);
    }
    for (auto const& job : ended)
        finished(job);
}

} // namespace masticshift::dispatch::testing
