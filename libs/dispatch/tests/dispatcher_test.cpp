#include <test_support/endpoint_model.hpp>

#include <doctest/doctest.h>

#include <algorithm>

using namespace masticshift;
using namespace masticshift::dispatch;

namespace
{

constexpr std::int64_t token = 100;
constexpr milliseconds run_time{60};

/// A dispatcher with endpoints, and a clock that the test advances.
struct fixture
{
    explicit fixture(int endpoints)
    {
        for (int i = 0; i < endpoints; ++i)
        {
            auto const id = "e" + std::to_string(i);
            models.emplace(id, endpoint_model(make_endpoint(id)));
            tested.update_endpoint(make_endpoint(id));
            read(id);
        }
    }

    std::int64_t clock() const
    {
        return std::chrono::duration_cast<milliseconds>(now - time_point{})
            .count();
    }

    void read(std::string const& id)
    {
        auto const order = tested.next_list(id, now);
        if (!order)
            return;
        run_list list;
        auto const response = models.at(id).list(*order, clock(), list);
        if (response == order_response::accepted)
            tested.list_answered(id, *order, list, clock(), now, now);
        else
            tested.list_failed(id, response, now);
    }

    void read_all()
    {
        for (auto const& [id, model] : models)
            read(id);
    }

    void deliver_orders(bool fail = false)
    {
        for (auto const& order : tested.take_starts())
        {
            auto const response =
                models.at(order.endpoint).start(order, clock(), run_time, fail);
            tested.start_answered(order, response, clock(), now);
        }
        for (auto const& order : tested.take_stops())
            tested.stop_answered(
                order, models.at(order.endpoint).stop(order, clock()), now);
    }

    void advance(milliseconds length)
    {
        now += length;
        tested.tick(now);
    }

    /// Reports a start and its repetitions as unanswered until the dispatcher
    /// repeats it no more. Returns how often it did.
    int lose_start(start_order const& first)
    {
        int repeated = 0;
        std::vector<start_order> lost{first};
        while (!lost.empty())
        {
            CHECK(lost.size() == 1);
            CHECK(lost[0].run == first.run);
            now += milliseconds(25);
            tested.start_answered(lost[0], order_response::unanswered,
                                  std::nullopt, now);
            lost = tested.take_starts();
            repeated += lost.empty() ? 0 : 1;
        }
        return repeated;
    }

    time_point now = time_point{} + std::chrono::seconds(100);
    dispatcher tested{dispatch_limits{}, token};
    std::map<std::string, endpoint_model> models;
};

} // namespace

TEST_CASE("a job ends as completed when all its tasks are done")
{
    fixture f(2);
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
    fixture f(1);
    f.tested.submit(make_spec("a", 5), "home", f.now);
    auto const starts = f.tested.take_starts();
    CHECK(starts.size() == 2);
}

TEST_CASE("a job that no endpoint could ever run is refused at once")
{
    fixture f(1);
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
    fixture f(3);
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

TEST_CASE("a start without a response is stopped before the task runs again")
{
    fixture f(2);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    auto const starts = f.tested.take_starts();
    REQUIRE(starts.size() == 1);
    CHECK(f.lose_start(starts[0]) == 3);
    auto const stops = f.tested.take_stops();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].run == starts[0].run);
    auto& model = f.models.at(starts[0].endpoint);
    f.tested.stop_answered(stops[0], model.stop(stops[0], f.clock()), f.now);
    f.advance(milliseconds(60));
    f.read_all();
    auto const repeated = f.tested.take_starts();
    REQUIRE(repeated.size() == 1);
    CHECK(repeated[0].run.number > starts[0].run.number);
    // The first order arrives late, after the stop.
    CHECK(model.start(starts[0], f.clock(), run_time, false) ==
          order_response::run_too_old);
}

TEST_CASE("a task on an unresponsive endpoint runs again only after its lease")
{
    fixture f(2);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    f.deliver_orders();
    auto const unresponsive = f.models.at("e0").running() == 1 ? "e0" : "e1";
    auto const lease_end = f.now + milliseconds(1'000);
    while (f.tested.take_starts().empty())
    {
        REQUIRE(f.now < lease_end + milliseconds(200));
        // The other endpoint responds.
        f.read(std::string(unresponsive) == "e0" ? "e1" : "e0");
        f.tested.take_stops();
        f.advance(milliseconds(10));
        f.tested.list_failed(unresponsive, order_response::unanswered, f.now);
    }
    CHECK(f.now >= lease_end);
}

TEST_CASE("the lease is not renewed while a foreign run is listed")
{
    fixture f(1);
    auto& model = f.models.at("e0");
    start_order foreign{"e0", {"x.0.0.0", 1}, "", f.clock() + 900, token - 1};
    // An endpoint that another dispatcher has used before.
    fixture fresh(0);
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
    fixture f(1);
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
    fixture f(1);
    f.tested.submit(make_spec("a", 2), "gone", f.now);
    f.deliver_orders();
    f.tested.cancel_jobs_of_origin("gone", f.now);
    f.deliver_orders();
    CHECK(f.models.at("e0").running() == 0);
}

TEST_CASE("a resubmitted job waits until the runs of the former one have ended")
{
    fixture f(2);
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
    fixture f(1);
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
    fixture f(2);
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
    fixture f(2);
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
    fixture f(1);
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
    fixture f(2);
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
    fixture f(1);
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
TEST_CASE("a run in a new incarnation of an endpoint does not count as lost")
{
    fixture f(2);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    auto const starts = f.tested.take_starts();
    REQUIRE(starts.size() == 1);
    auto const id = starts[0].endpoint;
    auto& model = f.models.at(id);
    model.restart(2'000);
    auto const response = model.start(starts[0], f.clock(), run_time, false);
    f.tested.start_answered(starts[0], response, f.clock(), f.now);
    auto record = make_endpoint(id);
    record.started_ms = 2'000;
    f.tested.update_endpoint(record);
    CHECK(f.tested.take_starts().empty());
    f.advance(milliseconds(10));
    f.read(id);
    CHECK(f.tested.take_starts().empty());
    f.advance(milliseconds(60));
    f.read(id);
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.end == job_end::completed);
}

TEST_CASE("a started job is placed before jobs that have not started")
{
    fixture f(1);
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
    fixture f(1);
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
    fixture f(2);
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
    fixture f(1);
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

TEST_CASE(
    "a task runs again as soon as the stop of its lost start is confirmed")
{
    fixture f(1);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    auto const lost = f.tested.take_starts();
    REQUIRE(lost.size() == 1);
    CHECK(f.lose_start(lost[0]) == 3);
    f.now += milliseconds(1);
    f.deliver_orders();
    f.now += milliseconds(1);
    f.read_all();
    auto const repeated = f.tested.take_starts();
    REQUIRE(repeated.size() == 1);
    CHECK(repeated[0].run.number > lost[0].run.number);
    // The lost order arrives late.
    CHECK(f.models.at("e0").start(lost[0], f.clock(), run_time, false) ==
          order_response::run_too_old);
}

TEST_CASE("a start whose answer was lost is repeated and runs once")
{
    fixture f(1);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    auto const first = f.tested.take_starts();
    REQUIRE(first.size() == 1);
    auto& model = f.models.at("e0");
    model.start(first[0], f.clock(), run_time, false);
    f.now += milliseconds(25);
    f.tested.start_answered(first[0], order_response::unanswered, std::nullopt,
                            f.now);
    auto const repeated = f.tested.take_starts();
    REQUIRE(repeated.size() == 1);
    CHECK(repeated[0].run == first[0].run);
    CHECK(repeated[0].lease_until > first[0].lease_until);
    f.tested.start_answered(
        repeated[0], model.start(repeated[0], f.clock(), run_time, false),
        f.clock(), f.now);
    CHECK(model.starts().size() == 1);
    f.advance(milliseconds(60));
    f.read_all();
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.end == job_end::completed);
    CHECK(f.tested.take_stops().empty());
}

TEST_CASE("work that ran although the answer to its start was lost is not run "
          "again")
{
    fixture f(1);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    auto const first = f.tested.take_starts();
    REQUIRE(first.size() == 1);
    auto& model = f.models.at("e0");
    model.start(first[0], f.clock(), milliseconds(10), false);
    f.now += milliseconds(25);
    f.tested.start_answered(first[0], order_response::unanswered, std::nullopt,
                            f.now);
    auto const repeated = f.tested.take_starts();
    REQUIRE(repeated.size() == 1);
    // It has ended by now, so that the endpoint rejects the repetition.
    auto const response =
        model.start(repeated[0], f.clock(), milliseconds(10), false);
    CHECK(response == order_response::run_too_old);
    f.tested.start_answered(repeated[0], response, f.clock(), f.now);
    f.advance(milliseconds(5));
    f.read_all();
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.end == job_end::completed);
    CHECK(model.starts().size() == 1);
}

TEST_CASE("a lost stop is repeated at once")
{
    fixture f(1);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    f.deliver_orders();
    f.tested.withdraw("a", "home", f.now);
    auto const lost = f.tested.take_stops();
    REQUIRE(lost.size() == 1);
    f.now += milliseconds(25);
    f.tested.stop_answered(lost[0], order_response::unanswered, f.now);
    CHECK(f.tested.take_stops().size() == 1);
}

TEST_CASE("changes of trust in an endpoint are reported with the reason")
{
    fixture f(1);
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
