// Runs that are stopped because they are slow or make no progress.

#include "dispatcher_fixture.hpp"

#include <algorithm>
#include <set>

using namespace masticshift;
using namespace masticshift::dispatch;
using namespace masticshift::dispatch::testing;

namespace
{

constexpr milliseconds step_time{20};

/// Starts all ordered tasks, with this run time, carries out the stops and
/// lists the endpoints, until no job is left or `length` has passed. Returns
/// the endpoints of the starts, in order.
std::vector<std::string> play(dispatcher_fixture& f, milliseconds length,
                              duration each_run)
{
    std::vector<std::string> used;
    auto const end = f.now + length;
    while (f.now < end && f.tested.jobs() > 0)
    {
        for (auto const& order : f.tested.take_starts())
        {
            used.push_back(order.endpoint);
            auto& model = f.models.at(order.endpoint);
            f.tested.start_answered(
                order, model.start(order, f.clock(), each_run, false),
                f.clock(), f.now);
        }
        f.deliver_orders();
        f.advance(step_time);
        f.read_all();
    }
    return used;
}

job_spec make_patient_spec(std::string id)
{
    auto spec = make_spec(std::move(id), 1);
    spec.caller_timeout = milliseconds(20'000);
    return spec;
}

} // namespace

// Quiet days: jobs whose declared run times were far too short were answered
// as `unknown`, although no endpoint was lost.
TEST_CASE("a job whose declared run time is far too short completes, and is "
          "restarted once at most")
{
    dispatcher_fixture f(8);
    f.tested.submit(make_patient_spec("a"), "home", f.now);
    auto const used = play(f, milliseconds(4'000), milliseconds(900));
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.end == job_end::completed);
    CHECK(used.size() <= 2);
}

// Each new run was stopped half a second after its start.
TEST_CASE("a job is not given up because its runs made no progress")
{
    dispatcher_fixture f(8);
    f.tested.submit(make_patient_spec("a"), "home", f.now);
    // Such a run shows 1 % after 600 ms.
    auto const used = play(f, milliseconds(4'000), milliseconds(60'000));
    CHECK(f.tested.take_finished().empty());
    CHECK(used.size() > 1);
    CHECK(used.size() <= 5);
    CHECK(f.tested.runs() == 1);
}

// The endpoint that a run is stopped on has free capacity first.
TEST_CASE("a task that was too slow on an endpoint waits for another one")
{
    dispatcher_fixture f(2);
    f.tested.submit(make_patient_spec("a"), "home", f.now);
    auto const first = f.tested.take_starts();
    REQUIRE(first.size() == 1);
    auto const slow = first[0].endpoint;
    auto& model = f.models.at(slow);
    f.tested.start_answered(
        first[0], model.start(first[0], f.clock(), milliseconds(2'000), false),
        f.clock(), f.now);
    std::vector<stop_order> stops;
    while (stops.empty() && f.clock() < 101'000)
    {
        f.advance(step_time);
        f.read_all();
        stops = f.tested.take_stops();
    }
    REQUIRE(stops.size() == 1);
    // Other tasks take the other endpoint before the stop is confirmed.
    f.tested.submit(make_spec("b", 2), "home", f.now);
    auto const others = f.tested.take_starts();
    REQUIRE(others.size() == 2);
    for (auto const& order : others)
    {
        REQUIRE(order.endpoint != slow);
        f.tested.start_answered(order,
                                f.models.at(order.endpoint)
                                    .start(order, f.clock(), run_time, false),
                                f.clock(), f.now);
    }
    f.tested.stop_answered(stops[0], model.stop(stops[0], f.clock()), f.now);
    f.advance(milliseconds(10));
    f.read_all();
    CHECK(f.tested.take_starts().empty());
    f.advance(run_time);
    f.read_all();
    auto const again = f.tested.take_starts();
    REQUIRE(again.size() == 1);
    CHECK(again[0].endpoint != slow);
}

TEST_CASE("a task that was stuck on the only endpoint runs there again")
{
    dispatcher_fixture f(1);
    f.tested.submit(make_patient_spec("a"), "home", f.now);
    auto const used = play(f, milliseconds(1'200), milliseconds(60'000));
    CHECK(used.size() == 2);
}
