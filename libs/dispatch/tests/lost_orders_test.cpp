// Orders to endpoints, or their answers, that are lost or late.

#include "dispatcher_fixture.hpp"

#include <algorithm>

using namespace masticshift;
using namespace masticshift::dispatch;
using namespace masticshift::dispatch::testing;

TEST_CASE("a start without a response is stopped before the task runs again")
{
    dispatcher_fixture f(2);
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
    dispatcher_fixture f(2);
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

TEST_CASE("a run in a new incarnation of an endpoint does not count as lost")
{
    dispatcher_fixture f(2);
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

TEST_CASE(
    "a task runs again as soon as the stop of its lost start is confirmed")
{
    dispatcher_fixture f(1);
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
    dispatcher_fixture f(1);
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
    dispatcher_fixture f(1);
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
    dispatcher_fixture f(1);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    f.deliver_orders();
    f.tested.withdraw("a", "home", f.now);
    auto const lost = f.tested.take_stops();
    REQUIRE(lost.size() == 1);
    f.now += milliseconds(25);
    f.tested.stop_answered(lost[0], order_response::unanswered, f.now);
    CHECK(f.tested.take_stops().size() == 1);
}

// Soak seed 5105 of --links: all lists got no response, but they arrived. The
// next process of the endpoint carried out a start that had been held up.
TEST_CASE("the first list that fails while a start may be in transit is "
          "followed by lists with a higher token, whatever the failure")
{
    for (auto const failure :
         {order_response::unanswered, order_response::not_sent,
          order_response::connection_refused})
    {
        dispatcher_fixture f(1);
        f.tested.submit(make_spec("a", 1), "home", f.now);
        auto const starts = f.tested.take_starts();
        REQUIRE(starts.size() == 1);
        f.lose_start(starts[0]);
        f.tested.list_failed("e0", failure, f.now);
        auto const raised = f.tested.next_list("e0", f.now);
        REQUIRE(raised);
        CHECK(raised->token > starts[0].token);
        f.advance(milliseconds(20));
        f.tested.list_failed("e0", failure, f.now);
        auto const next = f.tested.next_list("e0", f.now);
        REQUIRE(next);
        CHECK(next->token == raised->token);
        // The response to this list is lost too.
        auto& model = f.models.at("e0");
        model.restart(2'000);
        run_list list;
        model.list(*next, f.clock(), list);
        CHECK(model.start(starts[0], f.clock(), run_time, false) ==
              order_response::outranked);
    }
}

TEST_CASE("a list that fails while no start is in transit raises no token")
{
    dispatcher_fixture f(1);
    auto const before = f.tested.token();
    f.tested.list_failed("e0", order_response::unanswered, f.now);
    CHECK(f.tested.token() == before);
}
