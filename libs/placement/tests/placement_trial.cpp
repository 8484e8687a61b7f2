// Discrete-event simulation of one policy: entries with uneven load, endpoints
// of different speeds that refuse tasks when all slots are in use. Prints one
// line of results.

#include "fixture.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <queue>
#include <random>

DEFINE_uint32(endpoints, 16, "endpoints with 8 slots, of speeds 0.5 to 2");
DEFINE_uint32(failing, 0, "endpoints that fail everything after 1 ms");
DEFINE_uint32(entries, 3, "1, or 3 that get 50, 30 and 20 % of the jobs");
DEFINE_uint32(jobs, 20'000, "jobs of ten tasks");
DEFINE_uint32(seed, 1, "seed of all random draws");
DEFINE_double(load, 0.8, "offered load as a fraction of the capacity");
DEFINE_string(policy, "lending", "name of a policy");

using namespace masticshift;
using namespace masticshift::placement;
using namespace masticshift::placement::testing;

namespace
{

constexpr unsigned job_tasks = 10;
constexpr double mean_run_ms = 200;
constexpr double one_way_ms = 0.25;
constexpr double heartbeat_ms = 500;

struct job_record
{
    double start = 0;
    double longest = 0;
    unsigned tasks_left = job_tasks;
    std::vector<double> work;
};

struct trial
{
    struct event
    {
        double at = 0;
        void (trial::*act)(event const&) = nullptr;
        unsigned entry = 0;
        assignment start = {};
        task_result result = task_result::ok;
        double ms = 0;
        borrow_request call = {};
        std::vector<loan> loans = {};
    };
    struct later
    {
        bool operator()(event const& a, event const& b) const
        {
            return a.at > b.at;
        }
    };

    time_point now() const
    {
        return at_ms(now_ms);
    }
    static std::string address(unsigned i)
    {
        return std::to_string(i);
    }
    void push(event e, void (trial::*act)(event const&), double delay_ms)
    {
        e.at = now_ms + delay_ms;
        e.act = act;
        events.push(std::move(e));
    }

    void run()
    {
        for (unsigned i = 0; i < FLAGS_endpoints; ++i)
            speeds.push_back(0.5 * std::exp2(2.0 * i / (FLAGS_endpoints - 1)));
        for (double const speed : speeds)
            capacity += 8 * speed / mean_run_ms;
        for (unsigned i = 0; i < FLAGS_entries; ++i)
        {
            auto engine = make_engine(FLAGS_policy, settings_of(address(i)));
            engine->configure(text_of(FLAGS_endpoints), now());
            entries.push_back(std::move(*engine));
        }
        push({}, &trial::heartbeat, 0);
        push({}, &trial::arrive, 0);
        while (jobs.size() < FLAGS_jobs || open_jobs > 0)
        {
            auto const next = events.top();
            events.pop();
            now_ms = next.at;
            (this->*next.act)(next);
        }
    }

    void arrive(event const&)
    {
        std::discrete_distribution<unsigned> pick{0.5, 0.3, 0.2};
        std::lognormal_distribution<double> size(-0.5, 1.0);
        std::lognormal_distribution<double> error(0, 0.7);
        std::exponential_distribution<double> gap(capacity * FLAGS_load);
        auto request = job_of(jobs.size(), std::vector<float>(job_tasks));
        job_record job{now_ms};
        for (auto& declared : request.sizes)
        {
            job.work.push_back(mean_run_ms * size(random));
            job.longest = std::max(job.longest, job.work.back());
            declared = static_cast<float>(job.work.back() / mean_run_ms *
                                          error(random));
        }
        jobs.push_back(job);
        unsigned const entry = pick(random) % FLAGS_entries;
        bool const accepted = entries[entry].admit(request, now()).accepted();
        ++(accepted ? open_jobs : failed);
        if (jobs.size() < FLAGS_jobs)
            push({}, &trial::arrive, job_tasks * gap(random));
        run_engine({.entry = entry});
    }

    void heartbeat(event const&)
    {
        std::vector<live_entry> views;
        for (unsigned i = 0; i < FLAGS_entries; ++i)
        {
            views.push_back(view_of(address(i)));
            views[i].loads = entries[i].load(now());
        }
        for (unsigned i = 0; i < FLAGS_entries; ++i)
        {
            entries[i].set_entries(views, now());
            run_engine({.entry = i});
        }
        push({}, &trial::heartbeat, heartbeat_ms);
    }

    // Does what the daemon does after any change at an entry: places tasks,
    // borrows and returns slots, and schedules the next event.
    void run_engine(event const& e)
    {
        auto& engine = entries[e.entry];
        for (auto const& start : engine.place(now()))
            push({.entry = e.entry, .start = start}, &trial::start, one_way_ms);
        for (auto const& call : engine.take_borrow_requests(now()))
        {
            extra_messages += 2;
            auto const loans = entries[std::stoul(call.lender)].lend(
                "s", call.count, address(e.entry), 1, now());
            push({.entry = e.entry, .call = call, .loans = loans},
                 &trial::borrow, 2 * one_way_ms);
        }
        for (auto const& returned : engine.take_surplus_loans(now()))
        {
            extra_messages += 2;
            entries[std::stoul(returned.lender)].accept_returned_loans(
                address(e.entry), 1, returned.slots, now());
        }
        auto const next = engine.next_event(now());
        if (!next ||
            (wakes[e.entry] > now_ms && at_ms(wakes[e.entry]) <= *next))
            return;
        double const wait = std::max(0.01, to_milliseconds(*next - now()));
        wakes[e.entry] = now_ms + wait;
        push({.entry = e.entry}, &trial::run_engine, wait);
    }

    void start(event const& sent)
    {
        auto e = sent;
        auto const endpoint = e.start.endpoint->port - 7'000U;
        bool const fails = endpoint < FLAGS_failing;
        bool const full = busy[endpoint] == 8;
        double const work = jobs[e.start.task.job].work[e.start.task.task];
        ++tasks;
        late_starts_at_failing += fails && now_ms > 1'000 ? 1 : 0;
        e.result = full    ? task_result::refused_not_run
                   : fails ? task_result::failed
                           : task_result::ok;
        e.ms = full ? 0 : fails ? 1 : work / speeds[endpoint];
        busy[endpoint] += full ? 0 : 1;
        push(e, &trial::receive_response, e.ms + one_way_ms);
    }

    void receive_response(event const& e)
    {
        auto& engine = entries[e.entry];
        auto const ref = e.start.task;
        auto& job = jobs[ref.job];
        bool const refused = e.result == task_result::refused_not_run;
        busy[e.start.endpoint->port - 7'000U] -= refused ? 0 : 1;
        auto const took = at_ms(e.ms + 2 * one_way_ms) - at_ms(0);
        engine.finished(ref, e.result, took, now());
        extra_messages += refused ? 2 : 0;
        refusals += refused ? 1 : 0;
        bool const fails = refused ? !engine.requeue(ref, now())
                                   : e.result == task_result::failed;
        if (fails && job.longest > 0)
        {
            engine.cancel(ref.job, now());
            job.longest = 0;
            ++failed;
            --open_jobs;
        }
        if (!refused && --job.tasks_left == 0 && job.longest > 0)
        {
            // Response time divided by the run time of the longest task at the
            // fastest endpoint, whose speed is 2.
            slowdowns.push_back((now_ms - job.start) * 2 / job.longest);
            --open_jobs;
        }
        run_engine(e);
    }

    void borrow(event const& e)
    {
        entries[e.entry].accept_loans(e.call.lender, e.loans, now());
        run_engine(e);
    }

    std::mt19937_64 random{FLAGS_seed};
    std::vector<double> speeds;
    std::vector<unsigned> busy = std::vector<unsigned>(FLAGS_endpoints);
    std::vector<double> wakes = std::vector<double>(FLAGS_entries);
    std::vector<any_engine> entries;
    std::vector<job_record> jobs;
    std::priority_queue<event, std::vector<event>, later> events;
    std::vector<double> slowdowns;
    unsigned open_jobs = 0;
    unsigned failed = 0;
    double capacity = 0;
    double now_ms = 0;
    double tasks = 0;
    double extra_messages = 0;
    double refusals = 0;
    double late_starts_at_failing = 0;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    trial t;
    auto const begin = std::chrono::steady_clock::now();
    t.run();
    auto const spent = std::chrono::steady_clock::now() - begin;
    std::ranges::sort(t.slowdowns);
    double sum = 0;
    for (double const slowdown : t.slowdowns)
        sum += slowdown;
    auto const n = t.slowdowns.size();
    std::printf("%.2f %-16s mean %.2f p99 %.2f failed %u extra/task %.4f "
                "refusals/task %.4f late failing %.5f us/task %.2f\n",
                FLAGS_load, FLAGS_policy.c_str(), sum / static_cast<double>(n),
                t.slowdowns.at(n * 99 / 100), t.failed,
                t.extra_messages / t.tasks, t.refusals / t.tasks,
                t.late_starts_at_failing / t.tasks,
                to_milliseconds(spent) * 1'000 / t.tasks);
}
