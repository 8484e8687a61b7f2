#include "measurements.hpp"
#include "resource_use.hpp"
#include "sample_text.hpp"
#include "slope_report.hpp"

namespace capacity
{

namespace
{

using namespace masticshift;

constexpr unsigned queued_jobs = 1'000;
constexpr unsigned timed_tasks = 20'000;
constexpr unsigned full_size_endpoints = 790;
constexpr milliseconds run_time{100};

double bytes_of_engine(text_shape shape)
{
    auto const text = make_text(shape);
    auto const before = heap_bytes();
    auto engine = make_engine();
    engine.configure(text, start_time());
    return heap_bytes() - before;
}

double bytes_of_queue(unsigned job_tasks)
{
    auto const text = make_text({});
    auto engine = make_engine();
    engine.configure(text, start_time());
    auto const before = heap_bytes();
    for (unsigned job = 1; job <= queued_jobs; ++job)
        engine.admit(make_job(job, job_tasks, start_time()), start_time());
    return heap_bytes() - before;
}

double bytes_of_entries(unsigned entries)
{
    auto engine = make_engine();
    engine.configure(make_text({}), start_time());
    auto const before = heap_bytes();
    engine.set_entries(make_entries(entries), start_time());
    return heap_bytes() - before;
}

/// Runs jobs one after the other until at least `timed_tasks` tasks have run.
void run_jobs(placement::any_engine& engine, unsigned job_tasks)
{
    auto now = start_time();
    for (unsigned done = 0, job = 1; done < timed_tasks; ++job)
    {
        engine.admit(make_job(job, job_tasks, now), now);
        unsigned left = job_tasks;
        while (left > 0)
        {
            auto const placed = engine.place(now);
            now += run_time;
            for (auto const& one : placed)
                engine.finished(one.task, placement::task_result::ok, run_time,
                                now);
            left -= static_cast<unsigned>(placed.size());
        }
        done += job_tasks;
    }
}

/// Time for each task, including its share of the cost of the job.
double microseconds_for_each_task(unsigned endpoints, unsigned job_tasks)
{
    auto const text = make_text({endpoints, 8, 10});
    auto engine = make_engine();
    engine.configure(text, start_time());
    auto const taken = processor_microseconds(
        [&]
        {
            run_jobs(engine, job_tasks);
        });
    return taken / timed_tasks;
}

void measure_memory()
{
    measurement endpoints{
        "placement state, 10 services", "bytes", "endpoints", {}};
    for (unsigned const count : {48U, 200U, 790U})
    {
        endpoints.samples.push_back(
            {double(count), bytes_of_engine({count, 8, 10})});
    }
    print(endpoints);
    measurement slots{"placement state, 200 endpoints", "bytes", "slots", {}};
    for (unsigned const count : {4U, 8U, 16U, 32U})
    {
        slots.samples.push_back(
            {200.0 * count, bytes_of_engine({200, count, 10})});
    }
    print(slots);
    measurement tasks{"1,000 queued jobs", "bytes", "tasks", {}};
    for (unsigned const count : {1U, 11U, 41U})
    {
        tasks.samples.push_back(
            {double(count) * queued_jobs, bytes_of_queue(count)});
    }
    print(tasks);
    measurement entries{"entries known to placement", "bytes", "entries", {}};
    for (unsigned const count : {8U, 32U, 56U, 128U})
        entries.samples.push_back({double(count), bytes_of_entries(count)});
    print(entries);
}

void measure_decisions()
{
    measurement endpoints{"placing a task, jobs of 10", "us", "endpoints", {}};
    for (unsigned const count : {48U, 200U, 790U})
    {
        endpoints.samples.push_back(
            {double(count), microseconds_for_each_task(count, 10)});
    }
    print(endpoints);
    measurement job{"placing a job, 790 endpoints", "us", "tasks", {}};
    for (unsigned const count : {1U, 10U, 100U, 890U})
    {
        auto const each =
            microseconds_for_each_task(full_size_endpoints, count);
        job.samples.push_back({double(count), each * count});
    }
    print(job);
}

} // namespace

void measure_placement()
{
    measure_memory();
    measure_decisions();
}

} // namespace capacity
