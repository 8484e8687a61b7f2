// Odd entries and odd lists of endpoints that are in use.

#include "dispatcher_fixture.hpp"

using namespace masticshift;
using namespace masticshift::dispatch;
using namespace masticshift::dispatch::testing;

namespace
{

start_order start_one(dispatcher_fixture& f)
{
    auto spec = make_spec("a", 1);
    spec.caller_timeout = milliseconds(60'000);
    f.tested.submit(spec, "home", f.now);
    auto const starts = f.tested.take_starts();
    REQUIRE(starts.size() == 1);
    f.tested.start_answered(starts[0],
                            f.models.at(starts[0].endpoint)
                                .start(starts[0], f.clock(), run_time, false),
                            f.clock(), f.now);
    return starts[0];
}

/// The endpoint answers a list order with a list of which no row in progress
/// can be read.
void list_unreadable(dispatcher_fixture& f, std::string const& id)
{
    auto const order = f.tested.next_list(id, f.now);
    REQUIRE(order.has_value());
    run_list list;
    REQUIRE(f.models.at(id).list(*order, f.clock(), list) ==
            order_response::accepted);
    list.active.clear();
    list.complete = false;
    f.tested.list_answered(id, *order, list, f.clock(), f.now, f.now);
}

} // namespace

// Seen as TWICE: a row in progress that could not be read was left out, and the
// run that it stood for counted as ended.
TEST_CASE("a list that is not complete ends no run, and the next complete one "
          "does")
{
    dispatcher_fixture f(2);
    auto const first = start_one(f);
    for (int i = 0; i < 4; ++i)
    {
        f.advance(milliseconds(10));
        list_unreadable(f, first.endpoint);
        CHECK(f.tested.take_starts().empty());
        CHECK(f.tested.take_finished().empty());
        CHECK(f.tested.runs() == 1);
    }
    f.advance(run_time);
    f.read(first.endpoint);
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.end == job_end::completed);
}

TEST_CASE("an end in a list that is not complete is taken")
{
    dispatcher_fixture f(2);
    auto const first = start_one(f);
    f.advance(run_time + milliseconds(10));
    list_unreadable(f, first.endpoint);
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.end == job_end::completed);
}

TEST_CASE("a list of the next process that is not complete ends no run")
{
    dispatcher_fixture f(2);
    auto const first = start_one(f);
    f.advance(milliseconds(10));
    auto const order = f.tested.next_list(first.endpoint, f.now);
    REQUIRE(order.has_value());
    run_list list;
    list.started_ms = 2'000;
    list.complete = false;
    f.tested.list_answered(first.endpoint, *order, list, f.clock(), f.now,
                           f.now);
    CHECK(f.tested.take_starts().empty());
    CHECK(f.tested.runs() == 1);
}

// Runs of other dispatchers may be in progress there.
TEST_CASE("an endpoint gets its first start after a complete list")
{
    dispatcher_fixture f(0);
    f.models.emplace("x", endpoint_model(make_endpoint("x")));
    f.tested.update_endpoint(make_endpoint("x"));
    list_unreadable(f, "x");
    f.tested.submit(make_spec("a", 1), "home", f.now);
    CHECK(f.tested.take_starts().empty());
    f.advance(milliseconds(10));
    f.read("x");
    CHECK(f.tested.take_starts().size() == 1);
}

// A writer gives the entry of an endpoint the address of another one, whose
// process rejects the calls: that says nothing about the process that works on
// at the former address.
TEST_CASE("an entry with the address of another endpoint does not end the runs "
          "of its own")
{
    dispatcher_fixture f(2);
    auto const first = start_one(f);
    auto record = make_endpoint(first.endpoint);
    record.port = static_cast<std::uint16_t>(record.port + 1);
    f.tested.update_endpoint(record);
    for (int i = 0; i < 5; ++i)
    {
        f.tested.list_failed(first.endpoint, order_response::other_instance,
                             f.now);
        f.advance(milliseconds(5));
        CHECK(f.tested.take_starts().empty());
        CHECK(f.tested.take_finished().empty());
    }
    f.tested.update_endpoint(make_endpoint(first.endpoint));
    f.advance(run_time);
    f.read_all();
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.end == job_end::completed);
}

TEST_CASE("another process at the address at which an endpoint was listed ends "
          "its runs")
{
    dispatcher_fixture f(2);
    auto const first = start_one(f);
    for (int i = 0; i < 2; ++i)
        f.tested.list_failed(first.endpoint, order_response::other_instance,
                             f.now);
    auto const again = f.tested.take_starts();
    REQUIRE(again.size() == 1);
    CHECK(again[0].endpoint != first.endpoint);
}
