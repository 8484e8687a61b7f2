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
    int priority = 0;
    milliseconds caller_timeout{5'000};
    /// Standard deviations of the logarithms of the number of tasks (at most
    /// four times `tasks`), of the processor (at most 1.5 times) and of the run
    /// time.
    double tasks_spread = 0;
    double processor_spread = 0;
    double run_time_spread = 0;
    /// This part of the jobs takes seven times as long.
    double long_part = 0;
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

/// A job as a planner knows it that knows all arrivals.
struct arrival
{
    std::string kind;
    time_point arrived;
    time_point objective;
    int tasks = 1;
    std::int64_t processor = 0;
    /// On an endpoint of speed 1.
    milliseconds run_time{0};
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
        /// Speeds and thousandths of a core of the endpoints, in turn. One in
        /// four is slow in the small deployments.
        std::vector<double> speeds{1.2, 1.2, 1.2, 0.55};
        std::vector<std::int64_t> processors{16'000};
        /// All jobs are submitted with priority 0.
        bool one_priority = false;
    };

    explicit load_model(options const& chosen)
        : random_(chosen.seed), options_(chosen)
    {
        for (int number = 0; number < chosen.cells; ++number)
            add_cell(number, chosen.endpoints_per_cell);
    }

    /// Jobs of this kind arrive at random times from now on. `data_centre` is
    /// where callers send them; empty: spread over all.
    void add_traffic(job_kind const& kind, milliseconds time,
                     int data_centre = -1);

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
    void replace(std::string const& endpoint, milliseconds drain_time);

    std::vector<std::string> endpoints_of(std::size_t cell) const;

    void run_for(milliseconds time);

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

    /// All jobs that have arrived so far.
    std::vector<arrival> const& arrivals() const
    {
        return arrivals_;
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

    void add_cell(int number, int endpoints);

    void add_endpoint(std::size_t cell);

    void tick(std::size_t cell);

    void publish_claim(std::size_t number);

    void schedule_arrival(job_kind const& kind, int data_centre,
                          time_point until);

    void submit(job_kind const& kind, int data_centre);

    void route(std::string const& id);

    void end(std::string const& id, job_end how);

    void finished(finished_job const& ended);

    void flush(std::size_t number);

    duration run_time_of(run_key const& run, modelled_endpoint const& on) const;

    void carry_out(start_order const& order);

    /// Whether an order is lost on its way. It may be carried out later.
    bool is_order_lost(std::function<void()> const& carry_out_later);

    void send_start(std::size_t cell, start_order const& order);

    void send_stop(std::size_t cell, stop_order const& order);

    /// Responses take two milliseconds, so that the shortest timeout applies.
    milliseconds timeout_of(std::string const& endpoint);

    void poll(std::string const& id);

    void wait_for_end(std::string const& id, list_order const& order,
                      time_point sent, time_point until, milliseconds timeout);

    void list_answered(std::string const& id, list_order const& order,
                       run_list const& list, std::int64_t told,
                       time_point sent);

    void list_failed(std::string const& id);

    /// A factor with this standard deviation of its logarithm.
    double spread(double deviation);

    arrival draw(job_kind const& kind);

    std::mt19937 random_;
    options options_;
    std::vector<arrival> arrivals_;
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
