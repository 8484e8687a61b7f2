// Runs on endpoints whose process has ended.

#include "dispatcher_fixture.hpp"

#include <dispatch/resubmission_bounds.hpp>

#include <utility>

using namespace masticshift;
using namespace masticshift::dispatch;
using namespace masticshift::dispatch::testing;

namespace
{

/// Submits a job of one task and returns its start order.
start_order submit_one(dispatcher_fixture& f, std::string id)
{
    auto spec = make_spec(std::move(id), 1);
    spec.caller_timeout = milliseconds(60'000);
    f.tested.submit(spec, "home", f.now);
    auto const starts = f.tested.take_starts();
    REQUIRE(starts.size() == 1);
    return starts[0];
}

void confirm(dispatcher_fixture& f, start_order const& order)
{
    f.tested.start_answered(
        order,
        f.models.at(order.endpoint).start(order, f.clock(), run_time, false),
        f.clock(), f.now);
}

/// The endpoint's lists fail twice in a row.
void fail_lists(dispatcher_fixture& f, std::string const& endpoint,
                order_response response)
{
    for (int i = 0; i < 2; ++i)
    {
        f.tested.list_failed(endpoint, response, f.now);
        f.advance(milliseconds(10));
    }
}

} // namespace

// Seen as TWICE: the link refused connections, and the first run worked on.
TEST_CASE("a task whose endpoint refuses connections does not start elsewhere "
          "before its lease has ended")
{
    dispatcher_fixture f(3);
    auto const first = submit_one(f, "a");
    confirm(f, first);
    for (int i = 0; i < 99; ++i)
    {
        f.advance(milliseconds(10));
        f.tested.list_failed(first.endpoint, order_response::connection_refused,
                             f.now);
        CHECK(f.tested.take_starts().empty());
    }
    f.advance(milliseconds(100));
    auto const again = f.tested.take_starts();
    REQUIRE(again.size() == 1);
    CHECK(again[0].endpoint != first.endpoint);
    CHECK(again[0].run.number > first.run.number);
}

// An order that is held up for seconds reaches the next process, which knows
// neither the stop nor the lease of its predecessor.
TEST_CASE("the next process of an endpoint rejects starts that were sent to "
          "the former one")
{
    dispatcher_fixture f(2);
    auto const held_up = submit_one(f, "a");
    f.lose_start(held_up);
    f.deliver_orders();
    f.read_all();
    auto const again = f.tested.take_starts();
    REQUIRE(again.size() == 1);
    auto& restarted = f.models.at(held_up.endpoint);
    restarted.restart(2'000);
    f.advance(milliseconds(1'100));
    f.read_all();
    f.read_all();
    CHECK(restarted.start(held_up, f.clock() - 90'000, run_time, false) ==
          order_response::outranked);
}

// The run was gone when its start timed out, and the endpoint was not listed.
TEST_CASE("a start without a response is followed up also if its run has been "
          "stopped meanwhile")
{
    dispatcher_fixture f(1);
    auto const held_up = submit_one(f, "a");
    f.tested.withdraw("a", "home", f.now);
    f.deliver_orders();
    f.advance(milliseconds(10));
    f.read_all();
    f.read_all();
    REQUIRE(f.tested.runs() == 0);
    f.advance(milliseconds(30));
    f.tested.start_answered(held_up, order_response::unanswered, std::nullopt,
                            f.now);
    auto& restarted = f.models.at(held_up.endpoint);
    restarted.restart(2'000);
    f.advance(milliseconds(1'100));
    f.read_all();
    f.read_all();
    CHECK(restarted.start(held_up, f.clock() - 90'000, run_time, false) ==
          order_response::outranked);
}

TEST_CASE("an endpoint that was removed while a start was in transit rejects "
          "it when it is back")
{
    dispatcher_fixture f(1);
    auto const held_up = submit_one(f, "a");
    f.lose_start(held_up);
    f.tested.withdraw("a", "home", f.now);
    f.deliver_orders();
    f.read_all();
    f.tested.remove_endpoint(held_up.endpoint);
    f.advance(milliseconds(3'000));
    auto& restarted = f.models.at(held_up.endpoint);
    restarted.restart(2'000);
    f.tested.update_endpoint(restarted.record());
    f.read_all();
    f.read_all();
    CHECK(restarted.start(held_up, f.clock() - 90'000, run_time, false) ==
          order_response::outranked);
}

// The list with the higher token did not get through, and the lease ended.
TEST_CASE("a start that a new process may carry out is counted beyond its "
          "lease")
{
    dispatcher_fixture f(2);
    auto const held_up = submit_one(f, "a");
    f.tested.start_answered(held_up, order_response::unanswered, std::nullopt,
                            f.now);
    f.tested.take_starts();
    f.models.at(held_up.endpoint).restart(2'000);
    f.read(held_up.endpoint);
    f.advance(milliseconds(3'000));
    CHECK(f.tested.take_starts().empty());
    f.read(held_up.endpoint);
    CHECK(f.tested.take_starts().size() == 1);
}

// A record with a wrong address led to an endpoint of another id.
TEST_CASE("another process at another address does not end the runs of an "
          "endpoint")
{
    dispatcher_fixture f(2);
    auto const first = submit_one(f, "a");
    confirm(f, first);
    f.advance(milliseconds(10));
    f.read_all();
    auto record = make_endpoint(first.endpoint);
    record.port = 2;
    f.tested.update_endpoint(record);
    fail_lists(f, first.endpoint, order_response::other_instance);
    CHECK(f.tested.take_starts().empty());
}

// The record may have been written by someone else.
TEST_CASE("a record with another start time does not end the runs there")
{
    dispatcher_fixture f(2);
    auto const first = submit_one(f, "a");
    confirm(f, first);
    auto record = make_endpoint(first.endpoint);
    record.started_ms = 2'000;
    f.tested.update_endpoint(record);
    f.advance(milliseconds(10));
    f.read_all();
    CHECK(f.tested.take_starts().empty());
    f.advance(milliseconds(60));
    f.read_all();
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.end == job_end::completed);
}

// Such a response may carry the clock of the former process, and its start is
// no start of the next one.
TEST_CASE("a late response of the former process confirms nothing")
{
    dispatcher_fixture f(2);
    auto const first = submit_one(f, "a");
    auto& model = f.models.at(first.endpoint);
    model.restart(2'000);
    f.advance(milliseconds(10));
    f.read(first.endpoint);
    f.tested.start_answered(first, order_response::accepted, f.clock() + 90'000,
                            f.now);
    f.read(first.endpoint);
    auto const again = f.tested.take_starts();
    REQUIRE(again.size() == 1);
    CHECK(again[0].run.number > first.run.number);
    CHECK(again[0].lease_until <= f.clock() + 1'000);
}

// One response may be wrong, or come from a process that has just begun.
TEST_CASE("one refused connection does not end the runs of an endpoint")
{
    dispatcher_fixture f(3);
    auto const first = submit_one(f, "a");
    confirm(f, first);
    f.tested.list_failed(first.endpoint, order_response::connection_refused,
                         f.now);
    f.advance(milliseconds(10));
    CHECK(f.tested.take_starts().empty());
    f.read_all();
    f.tested.list_failed(first.endpoint, order_response::connection_refused,
                         f.now);
    f.advance(milliseconds(60));
    CHECK(f.tested.take_starts().empty());
    f.read_all();
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.end == job_end::completed);
}

TEST_CASE("a task whose endpoint was replaced by another process at its "
          "address starts elsewhere at once")
{
    dispatcher_fixture f(3);
    auto const first = submit_one(f, "a");
    confirm(f, first);
    f.advance(milliseconds(10));
    fail_lists(f, first.endpoint, order_response::other_instance);
    auto const again = f.tested.take_starts();
    REQUIRE(again.size() == 1);
    CHECK(again[0].endpoint != first.endpoint);
}

// The start may still reach a new process at the same address.
TEST_CASE("a start that an ended process has not confirmed is counted until "
          "its lease has ended")
{
    dispatcher_fixture f(3);
    auto const first = submit_one(f, "a");
    f.tested.start_answered(first, order_response::unanswered, std::nullopt,
                            f.now);
    fail_lists(f, first.endpoint, order_response::connection_refused);
    f.advance(milliseconds(900));
    for (auto const& order : f.tested.take_starts())
        CHECK(order.run == first.run);
    f.advance(milliseconds(600));
    auto const again = f.tested.take_starts();
    REQUIRE(again.size() == 1);
    CHECK(again[0].run.number > first.run.number);
}

// A repetition of the start may still reach a new process at the same address.
TEST_CASE("a run whose start was repeated is counted until its lease has ended")
{
    dispatcher_fixture f(3);
    auto const first = submit_one(f, "a");
    f.tested.start_answered(first, order_response::unanswered, std::nullopt,
                            f.now);
    auto const repeated = f.tested.take_starts();
    REQUIRE(repeated.size() == 1);
    confirm(f, repeated[0]);
    fail_lists(f, first.endpoint, order_response::connection_refused);
    f.advance(milliseconds(900));
    CHECK(f.tested.take_starts().empty());
    f.advance(milliseconds(600));
    CHECK(f.tested.take_starts().size() == 1);
}

TEST_CASE(
    "a run whose start was repeated is counted also when the next process "
    "has been listed")
{
    dispatcher_fixture f(3);
    auto const first = submit_one(f, "a");
    f.tested.start_answered(first, order_response::unanswered, std::nullopt,
                            f.now);
    auto const repeated = f.tested.take_starts();
    REQUIRE(repeated.size() == 1);
    confirm(f, repeated[0]);
    f.advance(milliseconds(10));
    f.models.at(first.endpoint).restart(2'000);
    f.read_all();
    CHECK(f.tested.take_starts().empty());
    f.advance(milliseconds(1'500));
    f.read_all();
    CHECK(f.tested.take_starts().size() == 1);
}

// The lease of the start was compared with the clock of the next process, and
// the task waited until its caller gave up.
TEST_CASE("a start without a response is not counted for longer because the "
          "next process has another clock")
{
    dispatcher_fixture f(2);
    auto const first = submit_one(f, "a");
    f.tested.start_answered(first, order_response::unanswered, std::nullopt,
                            f.now);
    f.tested.take_starts();
    run_list list;
    list.started_ms = 2'000;
    std::vector<start_order> again;
    for (int i = 0; i < 150 && again.empty(); ++i)
    {
        f.advance(milliseconds(10));
        auto const order = f.tested.next_list(first.endpoint, f.now);
        if (order)
            f.tested.list_answered(first.endpoint, *order, list,
                                   f.clock() - 90'000, f.now, f.now);
        again = f.tested.take_starts();
    }
    REQUIRE(again.size() == 1);
    CHECK(again[0].run.number > first.run.number);
}

// The response to an order may come after a list of the next process.
TEST_CASE("a start that is refused does not end the other runs there")
{
    dispatcher_fixture f(1);
    auto const first = submit_one(f, "a");
    confirm(f, first);
    auto const second = submit_one(f, "b");
    f.tested.start_answered(second, order_response::connection_refused,
                            std::nullopt, f.now);
    f.tested.take_starts();
    f.advance(milliseconds(70));
    f.read_all();
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.end == job_end::completed);
}

TEST_CASE("an endpoint that refuses connections gets no work until it is "
          "listed again")
{
    dispatcher_fixture f(1);
    auto const first = submit_one(f, "a");
    confirm(f, first);
    fail_lists(f, "e0", order_response::connection_refused);
    CHECK(f.tested.take_starts().empty());
    f.models.at("e0").restart(2'000);
    f.tested.update_endpoint(f.models.at("e0").record());
    f.advance(milliseconds(50));
    f.read_all();
    CHECK(f.tested.take_starts().empty());
    f.read_all();
    auto const again = f.tested.take_starts();
    REQUIRE(again.size() == 1);
    CHECK(again[0].run.number > first.run.number);
}

// A silent endpoint may run on.
TEST_CASE("a task whose endpoint can't be reached does not start elsewhere "
          "before its lease has ended")
{
    for (auto const response :
         {order_response::not_sent, order_response::unanswered})
    {
        CAPTURE(name_of(response));
        dispatcher_fixture f(3);
        auto const first = submit_one(f, "a");
        confirm(f, first);
        for (int i = 0; i < 90; ++i)
        {
            f.advance(milliseconds(10));
            f.tested.list_failed(first.endpoint, response, f.now);
            CHECK(f.tested.take_starts().empty());
        }
    }
}

// The lease that the next process grants to a start counts by its own clock, up
// to a second, and not by the clock that the start was meant for.
TEST_CASE("a task whose start reached the next process of its endpoint runs "
          "again only after the longest lease there")
{
    constexpr milliseconds long_run{4'000};
    dispatcher_fixture f(2, {longest_useful_lease, 1});
    f.tested.submit(make_spec("a", 1), "home", f.now);
    auto pending = f.tested.take_starts();
    REQUIRE(pending.size() == 1);
    auto const first = pending[0].endpoint;
    auto& next_process = f.models.at(first);
    next_process.restart(50'000);
    auto const begun = f.now;
    auto const clock_of_next = [&]
    {
        return static_cast<std::int64_t>(to_milliseconds(f.now - begun));
    };
    REQUIRE(next_process.start(pending[0], clock_of_next(), long_run, false) ==
            order_response::accepted);
    // From now on nothing arrives there or comes back.
    for (int i = 0; i < 50; ++i)
    {
        f.now += milliseconds(30);
        for (auto const& order : std::exchange(pending, {}))
            f.tested.start_answered(order, order_response::unanswered,
                                    std::nullopt, f.now);
        f.tested.list_failed(first, order_response::unanswered, f.now);
        f.read(first == "e0" ? "e1" : "e0");
        f.tested.tick(f.now);
        f.tested.take_stops();
        for (auto const& order : f.tested.take_starts())
        {
            if (order.endpoint == first)
                pending.push_back(order);
            else
                CHECK(next_process.running_tasks(clock_of_next()).empty());
        }
    }
}
