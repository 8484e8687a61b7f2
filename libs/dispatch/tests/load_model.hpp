#ifndef MASTICSHIFT_DISPATCH_TESTS_LOAD_MODEL_HPP
#define MASTICSHIFT_DISPATCH_TESTS_LOAD_MODEL_HPP

#include <dispatch/cell_choice.hpp>
#include <dispatch/dispatcher.hpp>
#include <dispatch/response_timeout.hpp>
#include <test_support/endpoint_model.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace masticshift::dispatch::testing
{

/// A kind of job.
struct job_kind
{
    std::string name;
    int tasks = 1;
    std::int64_t processor = 8'000;
    milliseconds run_time{60};
    double per_second = 10;
};

/// What became of the jobs of one kind.
struct job_counts
{
    int in_time = 0;
    int late = 0;
    int refused = 0;
    int unknown = 0;

    int all() const
    {
        return in_time + late + refused + unknown;
    }

    double in_time_share() const
    {
        return all() == 0 ? 1 : static_cast<double>(in_time) / all();
    }
};

/// Faults of calls to endpoints: probabilities.
struct call_faults
{
    double lost_orders = 0;
    double lost_answers = 0;
    /// A lost order is carried out after at most this time.
    milliseconds late_by{0};
};

/// Callers, the dispatchers of some cells and their endpoints, without network
/// or threads. Calls take some milliseconds and may be lost.
class load_model
{
public:
    struct options
    {
        int cells = 1;
        int endpoints_per_cell = 48;
        unsigned seed = 1;
    };

    explicit load_model(options const& chosen) : random_(chosen.seed)
    {
        for (int number = 0; number < chosen.cells; ++number)
            add_cell(number, chosen.endpoints_per_cell);
    }

    /// Jobs of this kind arrive at random times from now on. `data_centre` is
    /// where callers send them; empty: spread over all.
    void add_traffic(job_kind const& kind, milliseconds time,
                     int data_centre = -1)
    {
        auto const until = now_ + time;
        schedule_arrival(kind, data_centre, until);
    }

    void set_faults(call_faults const& faults)
    {
        faults_ = faults;
    }

    /// The endpoint neither answers nor runs anything from now on.
    void crash(std::string const& endpoint)
    {
        endpoints_.at(endpoint).crashed = true;
    }

    /// The endpoint reports that it drains, and is replaced by another one of
    /// the same cell after some time.
    void replace(std::string const& endpoint, milliseconds drain_time)
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

    std::vector<std::string> endpoints_of(std::size_t cell) const
    {
        std::vector<std::string> found;
        for (auto const& [id, each] : endpoints_)
        {
            if (each.cell == cell && !each.crashed)
                found.push_back(id);
        }
        return found;
    }

    void run_for(milliseconds time)
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

    job_counts const& counts(std::string const& kind)
    {
        return counts_[kind];
    }

    void reset_counts()
    {
        counts_.clear();
    }

    std::size_t starts() const
    {
        return starts_;
    }

private:
    struct modelled_cell
    {
        std::string name;
        std::string data_centre;
        std::unique_ptr<dispatcher> tested;
        dispatch_claim claim;
    };

    struct modelled_endpoint
    {
        endpoint_model model;
        std::size_t cell = 0;
        double speed = 1;
        bool crashed = false;
        /// A list call is in progress or its retry is scheduled.
        bool polled = false;
        unsigned unanswered = 0;
        unsigned lists_failed = 0;
    };

    struct open_job
    {
        job_spec spec;
        std::string kind;
        time_point arrived{};
        time_point objective{};
        int data_centre = 0;
        tried_cells tried;
        std::size_t cell = 0;
    };

    struct event
    {
        time_point at;
        std::size_t number = 0;
        std::function<void()> action;
    };

    struct later
    {
        bool operator()(event const& a, event const& b) const
        {
            return std::tie(a.at, a.number) > std::tie(b.at, b.number);
        }
    };

    static constexpr milliseconds tick_interval{10};
    static constexpr milliseconds claim_interval{100};
    static constexpr milliseconds one_way{1};
    static constexpr milliseconds first_retry_pause{10};
    static constexpr milliseconds longest_retry_pause{100};
    static constexpr std::int64_t token = 100;

    void at(time_point time, std::function<void()> action)
    {
        events_.push({time, ++event_count_, std::move(action)});
    }

    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(random_);
    }

    std::int64_t clock() const
    {
        return std::chrono::duration_cast<milliseconds>(now_ - time_point{})
            .count();
    }

    void add_cell(int number, int endpoints)
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

    void add_endpoint(std::size_t cell)
    {
        // Speeds as in the deployments: one in four is slow.
        auto const number = ++endpoint_count_;
        auto const id = "e" + std::to_string(number);
        auto record = make_endpoint(id);
        record.data_centre = cells_[cell].data_centre;
        modelled_endpoint added{endpoint_model(record), cell,
                                number % 4 == 0 ? 0.55 : 1.2, false, false};
        endpoints_.emplace(id, std::move(added));
        cells_[cell].tested->update_endpoint(record);
        flush(cell);
    }

    void tick(std::size_t cell)
    {
        cells_[cell].tested->tick(now_);
        flush(cell);
        at(now_ + tick_interval,
           [this, cell]
           {
               tick(cell);
           });
    }

    void publish_claim(std::size_t number)
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

    void schedule_arrival(job_kind const& kind, int data_centre,
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

    void submit(job_kind const& kind, int data_centre)
    {
        auto const id = "job" + std::to_string(++job_count_);
        open_job job;
        job.spec = make_spec(id, kind.tasks);
        job.spec.queue = kind.name;
        job.spec.steps[0].need.processor = kind.processor;
        // Declared run times are off by some 40 %.
        auto const error =
            std::exp(std::normal_distribution<double>(0, 0.4)(random_));
        run_times_[id] = kind.run_time;
        job.spec.steps[0].estimate = milliseconds(std::max<std::int64_t>(
            1, std::llround(to_milliseconds(kind.run_time) * error)));
        job.kind = kind.name;
        job.arrived = now_;
        job.objective = now_ +
                        std::chrono::duration_cast<duration>(
                            kind.run_time * job.spec.slack_factor) +
                        job.spec.target_latency;
        job.data_centre = data_centre >= 0
                              ? data_centre
                              : static_cast<int>(job_count_ % cells_.size());
        jobs_[id] = std::move(job);
        route(id);
    }

    void route(std::string const& id)
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
        job.spec.age =
            std::chrono::duration_cast<milliseconds>(now_ - job.arrived);
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

    void end(std::string const& id, job_end how)
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

    void finished(finished_job const& ended)
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

    void flush(std::size_t number)
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

    duration run_time_of(run_key const& run, modelled_endpoint const& on) const
    {
        auto const id = run.task.substr(0, run.task.find('.'));
        auto const known = run_times_.find(id);
        auto const time =
            known == run_times_.end() ? milliseconds(60) : known->second;
        return std::chrono::duration_cast<duration>(time / on.speed);
    }

    void carry_out(start_order const& order)
    {
        auto& to = endpoints_.at(order.endpoint);
        if (to.crashed)
            return;
        auto const before = to.model.starts().size();
        to.model.start(order, clock(), run_time_of(order.run, to), false);
        starts_ += to.model.starts().size() - before;
    }

    /// Whether an order is lost on its way. It may be carried out later.
    bool is_order_lost(std::function<void()> const& carry_out_later)
    {
        if (!chance(faults_.lost_orders))
            return false;
        if (faults_.late_by > milliseconds(0))
        {
            std::uniform_int_distribution<std::int64_t> delay(
                0, faults_.late_by.count());
            at(now_ + milliseconds(delay(random_)), carry_out_later);
        }
        return true;
    }

    void send_start(std::size_t cell, start_order const& order)
    {
        auto const timeout = timeout_of(order.endpoint);
        auto const fail = [this, cell, order]
        {
            ++endpoints_.at(order.endpoint).unanswered;
            cells_[cell].tested->start_answered(
                order, order_response::unanswered, std::nullopt, now_);
            flush(cell);
        };
        bool const lost =
            endpoints_.at(order.endpoint).crashed || is_order_lost(
                                                         [this, order]
                                                         {
                                                             carry_out(order);
                                                         });
        if (lost)
        {
            at(now_ + timeout, fail);
            return;
        }
        at(now_ + one_way,
           [this, cell, order, fail, timeout]
           {
               auto& to = endpoints_.at(order.endpoint);
               auto const before = to.model.starts().size();
               auto const response = to.model.start(
                   order, clock(), run_time_of(order.run, to), false);
               starts_ += to.model.starts().size() - before;
               if (chance(faults_.lost_answers))
               {
                   at(now_ + timeout - one_way, fail);
                   return;
               }
               auto const told = clock();
               at(now_ + one_way,
                  [this, cell, order, response, told]
                  {
                      endpoints_.at(order.endpoint).unanswered = 0;
                      cells_[cell].tested->start_answered(order, response, told,
                                                          now_);
                      flush(cell);
                  });
           });
    }

    void send_stop(std::size_t cell, stop_order const& order)
    {
        auto const timeout = timeout_of(order.endpoint);
        auto const respond = [this, cell, order](order_response response)
        {
            if (response == order_response::unanswered)
                ++endpoints_.at(order.endpoint).unanswered;
            else
                endpoints_.at(order.endpoint).unanswered = 0;
            cells_[cell].tested->stop_answered(order, response, now_);
            flush(cell);
        };
        bool const lost = endpoints_.at(order.endpoint).crashed ||
                          is_order_lost(
                              [this, order]
                              {
                                  auto& to = endpoints_.at(order.endpoint);
                                  if (!to.crashed)
                                      to.model.stop(order, clock());
                              });
        if (lost)
        {
            at(now_ + timeout,
               [respond]
               {
                   respond(order_response::unanswered);
               });
            return;
        }
        at(now_ + one_way,
           [this, order, respond, timeout]
           {
               auto const response =
                   endpoints_.at(order.endpoint).model.stop(order, clock());
               bool const answer_lost = chance(faults_.lost_answers);
               at(now_ + (answer_lost ? timeout - one_way : one_way),
                  [respond, response, answer_lost]
                  {
                      respond(answer_lost ? order_response::unanswered
                                          : response);
                  });
           });
    }

    /// Responses take two milliseconds, so that the shortest timeout applies.
    milliseconds timeout_of(std::string const& endpoint)
    {
        response_timeout timeout;
        for (int i = 0; i < 50; ++i)
            timeout.answered(2 * one_way);
        return timeout.after(endpoints_.at(endpoint).unanswered);
    }

    void poll(std::string const& id)
    {
        auto& endpoint = endpoints_.at(id);
        auto const cell = endpoint.cell;
        auto const order = cells_[cell].tested->next_list(id, now_);
        endpoint.polled = order.has_value();
        if (!order)
            return;
        auto const timeout = order->wait + timeout_of(id);
        if (endpoint.crashed || chance(faults_.lost_orders))
        {
            at(now_ + timeout,
               [this, id]
               {
                   list_failed(id);
               });
            return;
        }
        wait_for_end(id, *order, now_, now_ + order->wait + one_way, timeout);
    }

    void wait_for_end(std::string const& id, list_order const& order,
                      time_point sent, time_point until, milliseconds timeout)
    {
        at(now_ + one_way,
           [this, id, order, sent, until, timeout]
           {
               auto& endpoint = endpoints_.at(id);
               if (endpoint.crashed)
               {
                   at(sent + timeout,
                      [this, id]
                      {
                          list_failed(id);
                      });
                   return;
               }
               run_list list;
               auto const response = endpoint.model.list(order, clock(), list);
               if (list.ended.empty() && now_ < until)
               {
                   wait_for_end(id, order, sent, until, timeout);
                   return;
               }
               bool const lost = chance(faults_.lost_answers);
               auto const told = clock();
               at(lost ? sent + timeout : now_ + one_way,
                  [this, id, order, sent, list, response, told, lost]
                  {
                      if (lost || response != order_response::accepted)
                          list_failed(id);
                      else
                          list_answered(id, order, list, told, sent);
                  });
           });
    }

    void list_answered(std::string const& id, list_order const& order,
                       run_list const& list, std::int64_t told, time_point sent)
    {
        auto const cell = endpoints_.at(id).cell;
        endpoints_.at(id).polled = false;
        endpoints_.at(id).unanswered = 0;
        endpoints_.at(id).lists_failed = 0;
        cells_[cell].tested->list_answered(id, order, list, told, sent, now_);
        flush(cell);
        if (!endpoints_.at(id).polled)
            poll(id);
    }

    void list_failed(std::string const& id)
    {
        auto& endpoint = endpoints_.at(id);
        auto const cell = endpoint.cell;
        ++endpoint.unanswered;
        auto const doublings = std::min(endpoint.lists_failed++, 4U);
        auto const pause =
            std::min(first_retry_pause * (1 << doublings), longest_retry_pause);
        cells_[cell].tested->list_failed(id, order_response::unanswered, now_);
        flush(cell);
        at(now_ + pause,
           [this, id]
           {
               poll(id);
           });
    }

    std::mt19937 random_;
    time_point now_ = time_point{} + std::chrono::seconds(1'000);
    std::priority_queue<event, std::vector<event>, later> events_;
    std::size_t event_count_ = 0;
    call_faults faults_;
    std::vector<modelled_cell> cells_;
    std::map<std::string, modelled_endpoint> endpoints_;
    int endpoint_count_ = 0;
    std::map<std::string, open_job> jobs_;
    std::map<std::string, milliseconds> run_times_;
    std::size_t job_count_ = 0;
    std::map<std::string, job_counts> counts_;
    std::size_t starts_ = 0;
};

} // namespace masticshift::dispatch::testing

#endif
