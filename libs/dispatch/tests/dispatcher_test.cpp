#include "dispatcher_fixture.hpp"

#include <algorithm>

using namespace masticshift;
using namespace masticshift::dispatch;
using namespace masticshift::dispatch::testing;

TEST_CASE("a job ends as completed when all its tasks are done")
{
    dispatcher_fixture f(2);
    f.tested.submit(make_spec("a", 4), "home", f.now);
    f.deliver_orders();
    CHECK(f.tested.runs() == 4);
    f.advance(milliseconds(70));
    f.read_all();
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.end == job_end::completed);
    CHECK(f.tested.runs() == 0);
}

TEST_CASE("no endpoint gets more tasks than its free capacity holds")
{
    dispatcher_fixture f(1);
    f.tested.submit(make_spec("a", 5), "home", f.now);
    auto const starts = f.tested.take_starts();
    CHECK(starts.size() == 2);
}

TEST_CASE("an endpoint whose capacity has shrunk gets no more than fits, also "
          "while a run is being stopped, and more when it has grown again")
{
    dispatcher_fixture f(1);
    f.tested.submit(make_spec("a", 2), "home", f.now);
    f.deliver_orders();
    CHECK(f.tested.runs() == 2);
    auto shrunk = make_endpoint("e0");
    shrunk.capacity.processor = 7'000;
    f.tested.update_endpoint(shrunk);
    f.tested.submit(make_spec("b", 2), "home", f.now);
    f.tested.withdraw("a", "home", f.now);
    CHECK(f.tested.take_starts().empty());
    f.deliver_orders();
    f.advance(milliseconds(10));
    f.read_all();
    CHECK(f.tested.runs() == 1);
    f.deliver_orders();
    f.tested.update_endpoint(make_endpoint("e0"));
    f.advance(milliseconds(10));
    CHECK(f.tested.runs() == 2);
}

TEST_CASE("a job that no endpoint could ever run is refused at once")
{
    dispatcher_fixture f(1);
    auto spec = make_spec("a", 1);
    spec.steps[0].need.processor = 17'000;
    f.tested.submit(spec, "home", f.now);
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.end == job_end::refused);
    CHECK(finished[0].result.reason == end_reason::never_fits);
    CHECK(finished[0].result.retry_after > milliseconds(0));
}

TEST_CASE("a failed task runs again on other endpoints up to max_attempts")
{
    dispatcher_fixture f(3);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    for (int run = 0; run < 3; ++run)
    {
        f.deliver_orders(true);
        f.advance(milliseconds(70));
        f.read_all();
    }
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.end == job_end::failed);
    CHECK(finished[0].result.reason == end_reason::attempts_exhausted);
    std::size_t starts = 0;
    for (auto const& [id, model] : f.models)
    {
        CHECK(model.starts().size() <= 1);
        starts += model.starts().size();
    }
    CHECK(starts == 3);
}

TEST_CASE("the lease is not renewed while a foreign run is listed")
{
    dispatcher_fixture f(1);
    auto& model = f.models.at("e0");
    start_order foreign{"e0", {"x.0.0.0", 1}, "", f.clock() + 900, token - 1};
    // An endpoint that another dispatcher has used before.
    dispatcher_fixture fresh(0);
    fresh.models.emplace("e0", endpoint_model(make_endpoint("e0")));
    fresh.models.at("e0").start(foreign, fresh.clock(), milliseconds(5'000),
                                false);
    fresh.tested.update_endpoint(make_endpoint("e0"));
    fresh.read("e0");
    auto const stops = fresh.tested.take_stops();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].run == foreign.run);
    auto const order = fresh.tested.next_list("e0", fresh.now);
    REQUIRE(order.has_value());
    CHECK_FALSE(order->lease_until.has_value());
    fresh.tested.submit(make_spec("a", 1), "home", fresh.now);
    CHECK(fresh.tested.take_starts().empty());
    CHECK(model.running() == 0);
}

TEST_CASE("a withdrawn job is stopped, and ends as refused if nothing started")
{
    dispatcher_fixture f(1);
    f.tested.submit(make_spec("a", 2), "home", f.now);
    f.deliver_orders();
    f.tested.submit(make_spec("b", 2), "home", f.now);
    f.tested.withdraw("a", "home", f.now);
    f.tested.withdraw("b", "home", f.now);
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 2);
    CHECK(finished[0].result.end == job_end::unknown);
    CHECK(finished[1].result.end == job_end::refused);
    f.deliver_orders();
    CHECK(f.models.at("e0").running() == 0);
}

TEST_CASE("jobs of a dead entry are stopped")
{
    dispatcher_fixture f(1);
    f.tested.submit(make_spec("a", 2), "gone", f.now);
    f.deliver_orders();
    f.tested.cancel_jobs_of_origin("gone", f.now);
    f.deliver_orders();
    CHECK(f.models.at("e0").running() == 0);
}

TEST_CASE("a resubmitted job waits until the runs of the former one have ended")
{
    dispatcher_fixture f(2);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    f.deliver_orders();
    f.tested.submit(make_spec("a", 1), "other", f.now);
    CHECK(f.tested.take_starts().empty());
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].origin == "home");
    CHECK(finished[0].result.reason == end_reason::superseded);
    f.deliver_orders();
    f.read_all();
    CHECK(f.tested.take_starts().size() == 1);
}

TEST_CASE("a draining endpoint gets no new work and finishes its runs")
{
    dispatcher_fixture f(1);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    f.deliver_orders();
    auto record = make_endpoint("e0");
    record.stage = endpoint_stage::draining;
    f.tested.update_endpoint(record);
    f.tested.submit(make_spec("b", 1), "home", f.now);
    CHECK(f.tested.take_starts().empty());
    auto const order = f.tested.next_list("e0", f.now);
    REQUIRE(order.has_value());
    CHECK(order->lease_until.has_value());
    f.advance(milliseconds(70));
    f.read_all();
    REQUIRE(f.tested.take_finished().size() >= 1);
}

TEST_CASE("a new incarnation of an endpoint ends the runs of the former one")
{
    dispatcher_fixture f(2);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    f.deliver_orders();
    auto const id = f.models.at("e0").running() == 1 ? "e0" : "e1";
    f.models.at(id).restart(2'000);
    // The list is requested after the start was confirmed.
    f.advance(milliseconds(10));
    f.read(id);
    CHECK(f.tested.take_starts().size() == 1);
}

TEST_CASE("a job is refused at once if all endpoints are leaving")
{
    dispatcher_fixture f(2);
    for (auto const* const id : {"e0", "e1"})
    {
        auto record = make_endpoint(id);
        record.stage = endpoint_stage::draining;
        f.tested.update_endpoint(record);
    }
    f.tested.submit(make_spec("a", 1), "home", f.now);
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.end == job_end::refused);
    CHECK(finished[0].result.reason == end_reason::overloaded);
    CHECK(finished[0].result.retry_after > milliseconds(0));
    CHECK(f.tested.take_starts().empty());
}

TEST_CASE("cold start of all: a new dispatcher does not refuse jobs because it "
          "has read few of its endpoints so far")
{
    dispatcher tested(dispatch_limits{}, token);
    time_point const now = time_point{} + std::chrono::seconds(100);
    std::map<std::string, endpoint_model> models;
    for (int i = 0; i < 40; ++i)
    {
        auto const id = "e" + std::to_string(i);
        models.emplace(id, endpoint_model(make_endpoint(id)));
        tested.update_endpoint(make_endpoint(id));
    }
    auto const order = tested.next_list("e0", now);
    REQUIRE(order);
    run_list list;
    models.at("e0").list(*order, 100'000, list);
    tested.list_answered("e0", *order, list, 100'000, now, now);
    for (int i = 0; i < 30; ++i)
        tested.submit(make_spec("job" + std::to_string(i), 2), "home", now);
    CHECK(tested.take_finished().empty());
    CHECK(tested.jobs() == 30);
}

TEST_CASE("a job that would wait too long is refused early and does not run")
{
    dispatcher_fixture f(1);
    f.tested.submit(make_spec("a", 40), "home", f.now);
    f.tested.take_starts();
    f.tested.submit(make_spec("b", 8), "home", f.now);
    f.advance(milliseconds(45));
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].id == "b");
    CHECK(finished[0].result.end == job_end::refused);
    CHECK(finished[0].result.reason == end_reason::overloaded);
}

TEST_CASE("a retiring dispatcher refuses new jobs and releases idle endpoints")
{
    dispatcher_fixture f(2);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    f.deliver_orders();
    f.tested.retire(f.now);
    f.tested.submit(make_spec("b", 1), "home", f.now);
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.reason == end_reason::not_dispatcher);
    CHECK(f.tested.release_idle().size() == 1);
    f.advance(milliseconds(70));
    f.read_all();
    REQUIRE(f.tested.take_finished().size() == 1);
    CHECK(f.tested.release_idle().size() == 1);
    CHECK(f.tested.endpoints() == 0);
}

TEST_CASE("a higher token is used for endpoints that rejected the former one")
{
    dispatcher_fixture f(1);
    start_order other{"e0", {"x.0.0.0", 1}, "", f.clock() + 500, token + 50};
    f.models.at("e0").start(other, f.clock(), run_time, false);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    f.deliver_orders();
    CHECK(f.tested.outranked() == 1);
    CHECK(f.tested.runs() == 0);
    f.tested.advance_token(token + 100);
    f.read("e0");
    CHECK(f.tested.outranked() == 0);
}

// Soak seed 105: a start order reached the new incarnation of an endpoint
// before the registry reported it, and the run was counted as lost.
TEST_CASE("a started job is placed before jobs that have not started")
{
    dispatcher_fixture f(1);
    f.tested.submit(make_spec("begun", 4), "home", f.now);
    auto urgent = make_spec("urgent", 2);
    urgent.target_latency = milliseconds(20);
    f.tested.submit(urgent, "home", f.now);
    f.deliver_orders();
    f.advance(milliseconds(61));
    f.read("e0");
    auto const starts = f.tested.take_starts();
    REQUIRE(starts.size() == 2);
    CHECK(starts[0].run.task.starts_with("begun"));
    CHECK(starts[1].run.task.starts_with("begun"));
}

TEST_CASE(
    "a completed job that is resubmitted is answered without running again")
{
    dispatcher_fixture f(1);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    f.deliver_orders();
    f.advance(milliseconds(70));
    f.read_all();
    REQUIRE(f.tested.take_finished().size() == 1);
    f.advance(milliseconds(3'000));
    f.tested.submit(make_spec("a", 1), "other", f.now);
    CHECK(f.tested.take_starts().empty());
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].origin == "other");
    CHECK(finished[0].result.end == job_end::completed);
}

TEST_CASE("capacity too small for an average task is not reported as free")
{
    dispatcher_fixture f(2);
    auto const whole = f.tested.free_processor(f.now);
    CHECK(whole == 32'000);
    f.tested.submit(make_spec("a", 3), "home", f.now);
    // Each endpoint of 16 cores holds two tasks of 6.8 and has 2.4 left.
    CHECK(f.tested.free_processor(f.now) == 6'800);
    CHECK(f.tested.backlog() == duration(0));
    f.tested.submit(make_spec("b", 4), "home", f.now);
    CHECK(f.tested.free_processor(f.now) == 0);
    CHECK(f.tested.backlog() > milliseconds(30));
}

TEST_CASE("the objective counts from when the entry received the job")
{
    dispatcher_fixture f(1);
    auto spec = make_spec("a", 1);
    // 60 ms of work; the objective is 1.6 times this plus 60 ms.
    spec.age = milliseconds(150);
    f.tested.submit(spec, "home", f.now);
    spec.id = "b";
    spec.age = milliseconds(0);
    spec.steps[0].task_count = 2;
    f.tested.submit(spec, "home", f.now);
    CHECK(f.tested.runs() == 2);
    spec.id = "c";
    spec.age = milliseconds(150);
    f.tested.submit(spec, "home", f.now);
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].id == "c");
    CHECK(finished[0].result.reason == end_reason::overloaded);
}

TEST_CASE("changes of trust in an endpoint are reported with the reason")
{
    dispatcher_fixture f(1);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    f.deliver_orders(true);
    f.advance(milliseconds(70));
    f.read_all();
    auto decisions = f.tested.take_decisions();
    auto lost =
        std::ranges::find(decisions, "endpoint_distrusted", &decision::event);
    REQUIRE(lost != decisions.end());
    CHECK(lost->endpoint == "e0");
    CHECK(lost->outcome == "probation");
    CHECK(lost->reason == "run_failed");
    CHECK(f.tested.status(f.now)[0].last_failure == "run_failed");
    f.deliver_orders();
    f.advance(milliseconds(70));
    f.read_all();
    decisions = f.tested.take_decisions();
    CHECK(std::ranges::find(decisions, "endpoint_trusted", &decision::event) !=
          decisions.end());
}

// A process that was paused, or a dispatcher that has just taken over, has old
// records; jobs that wait must not start by them.
TEST_CASE("no task starts by records that are too old, and waiting jobs start "
          "with newer ones")
{
    dispatcher_fixture f(2);
    f.tested.use_records_until(f.now - milliseconds(1));
    f.tested.submit(make_spec("a", 2), "home", f.now);
    f.advance(milliseconds(10));
    f.read_all();
    CHECK(f.tested.take_starts().empty());
    auto record = make_endpoint("e0");
    record.stage = endpoint_stage::draining;
    f.tested.update_endpoint(record);
    f.tested.use_records_until(f.now + milliseconds(1'000));
    f.advance(milliseconds(10));
    auto const starts = f.tested.take_starts();
    REQUIRE(starts.size() == 2);
    CHECK(starts[0].endpoint == "e1");
    CHECK(starts[1].endpoint == "e1");
}

TEST_CASE(
    "a job that is to start only if idle is refused as busy while records "
    "are too old")
{
    dispatcher_fixture f(2);
    f.tested.use_records_until(f.now - milliseconds(1));
    auto spec = make_spec("a", 1);
    spec.only_if_idle = true;
    f.tested.submit(spec, "home", f.now);
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.reason == end_reason::busy_cell);
}
