#include <placement/endpoint_health.hpp>
#include <placement/endpoint_index.hpp>
#include <placement/endpoint_speed.hpp>
#include <placement/job_queue.hpp>
#include <placement/run_time_model.hpp>

#include "fixture.hpp"

#include <doctest/doctest.h>

#include <cmath>
#include <limits>
#include <random>

using namespace masticshift;
using namespace masticshift::placement;
using namespace masticshift::placement::testing;

namespace
{

constexpr unsigned runs = 2'000;
constexpr unsigned seed = 7;

/// The health of a service's endpoints. Each recorded result is of another job.
struct health_fixture
{
    explicit health_fixture(unsigned count)
    {
        totals.endpoints = count;
        for (unsigned i = 0; i < count; ++i)
            endpoints.emplace_back(i);
    }

    void record(unsigned endpoint, task_result result, double ms)
    {
        endpoints[endpoint].record(result, ++job, totals, at_ms(ms));
    }

    unsigned ejected(double ms) const
    {
        unsigned count = 0;
        for (auto const& endpoint : endpoints)
            count += endpoint.state(at_ms(ms)) == health_state::ejected ? 1 : 0;
        return count;
    }

    failure_totals totals;
    std::vector<endpoint_health> endpoints;
    std::uint64_t job = 0;
};

} // namespace

TEST_CASE("run times are learned when the declared one is far off")
{
    run_time_model model(milliseconds(10));
    CHECK(model.predict(0) == doctest::Approx(0.01));
    for (unsigned i = 0; i < runs; ++i)
        model.learn(0, 0.5);
    CHECK(model.predict(0) == doctest::Approx(0.5).epsilon(0.05));
}

TEST_CASE("the trust in declared sizes follows how well they predict run times")
{
    std::mt19937 random(seed);
    std::lognormal_distribution<double> draw(0, 1);
    run_time_model honest(milliseconds(100));
    run_time_model useless(milliseconds(100));
    for (unsigned i = 0; i < runs; ++i)
    {
        auto const size = static_cast<float>(draw(random));
        auto const log_size = run_time_model::log_size_of(size);
        honest.learn(log_size, 0.1 * size);
        useless.learn(log_size, 0.1 * draw(random));
    }
    CHECK(honest.size_trust() > 0.9);
    CHECK(useless.size_trust() < 0.2);
}

TEST_CASE("invalid sizes and extreme run times give finite predictions")
{
    run_time_model model(milliseconds(0));
    float const invalid[] = {0, -1, std::numeric_limits<float>::infinity(),
                             std::numeric_limits<float>::quiet_NaN()};
    for (float const size : invalid)
    {
        auto const log_size = run_time_model::log_size_of(size);
        model.learn(log_size, 0);
        model.learn(log_size, 1e9);
        CHECK(std::isfinite(model.predict(log_size)));
        CHECK(model.predict(log_size) > 0);
    }
    CHECK(std::isfinite(model.mean()));
}

TEST_CASE("one straggler changes a learned speed only slightly")
{
    endpoint_speed speed;
    for (unsigned i = 0; i < runs; ++i)
        speed.learn(std::log(speed.value() / 2.0));
    CHECK(speed.value() == doctest::Approx(2.0).epsilon(0.05));
    speed.learn(std::log(1'000.0));
    CHECK(speed.value() > 1.8);
}

TEST_CASE(
    "an endpoint that fails everything is ejected, then readmitted by probes")
{
    health_fixture health(4);
    for (unsigned i = 0; i < 8; ++i)
        health.record(0, task_result::failed, i);
    auto const& failing = health.endpoints[0];
    CHECK(failing.state(at_ms(10)) == health_state::ejected);
    CHECK(failing.limit(at_ms(10)) == 0);
    CHECK_FALSE(failing.usable(at_ms(10)));
    REQUIRE(failing.wake_time(at_ms(10)));
    // The back-off has a jitter, so its end is read from the endpoint.
    auto const first = *failing.wake_time(at_ms(10));
    CHECK(failing.limit(first) == 1);
    health.endpoints[0].record(task_result::failed, 100, health.totals, first);
    CHECK(*failing.wake_time(first) - first > first - at_ms(10));
    auto const second = *failing.wake_time(first);
    for (unsigned i = 0; i < 4; ++i)
        health.endpoints[0].record(task_result::ok, 101 + i, health.totals,
                                   second);
    CHECK(failing.state(second) == health_state::healthy);
    CHECK(health.totals.ejected == 0);
}

TEST_CASE("several failing endpoints are all ejected")
{
    health_fixture health(10);
    for (unsigned i = 0; i < 100; ++i)
        health.record(i % 4, task_result::failed, i);
    CHECK(health.ejected(100) == 4);
}

TEST_CASE("errors at all endpoints eject no more than the maximum fraction")
{
    health_fixture health(10);
    for (unsigned i = 0; i < 1'000; ++i)
        health.record(i % 10, task_result::failed, i);
    CHECK(health.ejected(500) <= 5);
    // Probes that fail like all others end the ejection.
    for (unsigned i = 0; i < 10; ++i)
        health.record(i, task_result::failed, 200'000);
    CHECK(health.ejected(200'001) == 0);
}

TEST_CASE("a steady rate of errors at all endpoints ejects none")
{
    health_fixture health(10);
    for (unsigned i = 0; i < 10; ++i)
    {
        for (unsigned j = 0; j < 40; ++j)
            health.record(j % 10, task_result::ok, i);
        for (unsigned j = 0; j < 10; ++j)
            health.record(j, task_result::failed, i);
    }
    CHECK(health.totals.ejected == 0);
}

TEST_CASE("one job's errors do not eject an endpoint")
{
    health_fixture health(4);
    for (unsigned i = 0; i < 8; ++i)
        health.endpoints[0].record(task_result::failed, 1, health.totals,
                                   at_ms(i));
    CHECK(health.totals.ejected == 0);
}

TEST_CASE("refusals and connect failures pause an endpoint without ejecting it")
{
    health_fixture health(4);
    health.record(0, task_result::not_connected, 0);
    CHECK(health.endpoints[0].state(at_ms(1)) == health_state::paused);
    CHECK(health.endpoints[0].usable(at_ms(1)));
    health.record(0, task_result::not_connected, 1'000);
    health.record(0, task_result::not_connected, 2'000);
    CHECK_FALSE(health.endpoints[0].usable(at_ms(2'001)));
    for (unsigned i = 0; i < 3; ++i)
        health.record(1, task_result::refused_not_run, 0);
    CHECK(health.endpoints[1].limit(at_ms(0)) == 0);
    CHECK(health.endpoints[1].usable(at_ms(0)));
    CHECK(health.totals.ejected == 0);
    CHECK(health.endpoints[0].counts().connect_failures == 3);
    CHECK(health.endpoints[1].counts().refusals == 3);
}

TEST_CASE("waiting time offsets remaining work in the order of jobs")
{
    job_queue<int> queue(job_order::least_remaining_work, 1);
    int large = 0;
    int small = 1;
    int late = 2;
    queue.insert(large, 10, at_ms(0), 0);
    queue.insert(small, 1, at_ms(0), 1);
    CHECK(queue.begin()->job == &small);
    queue.erase(queue.begin());
    queue.insert(late, 1, at_ms(9'500), 2);
    CHECK(queue.begin()->job == &large);
    auto const moved = queue.update(queue.begin(), 20, at_ms(0));
    CHECK(queue.begin()->job == &late);
    queue.update(moved, 5, at_ms(0));
    CHECK(queue.begin()->job == &large);
}

TEST_CASE("the fifo order ignores remaining work")
{
    job_queue<int> queue(job_order::fifo, 1);
    int first = 0;
    int second = 1;
    queue.insert(second, 1, at_ms(1), 1);
    queue.insert(first, 10, at_ms(0), 0);
    CHECK(queue.begin()->job == &first);
}

TEST_CASE("ids of endpoints are reused only after release")
{
    endpoint_index index;
    auto const first = index.intern("a");
    CHECK(index.intern("a") == first);
    index.detach("a");
    auto const second = index.intern("a");
    CHECK(second != first);
    index.release(first);
    CHECK(index.find("a") == second);
    CHECK(index.intern("b") == first);
}
