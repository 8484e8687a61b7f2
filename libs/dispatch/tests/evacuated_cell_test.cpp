// A dispatcher whose data centre is evacuated starts nothing.

#include "dispatcher_fixture.hpp"

#include <dispatch/cell_choice.hpp>

#include <doctest/doctest.h>

namespace masticshift::dispatch
{

namespace
{

using testing::dispatcher_fixture;

void check_nothing_starts(dispatcher_fixture& f)
{
    for (int i = 0; i < 20; ++i)
    {
        f.advance(milliseconds(50));
        f.read_all();
        CHECK(f.tested.take_starts().empty());
    }
}

} // namespace

TEST_CASE("a job that waits when its data centre is evacuated is refused at "
          "once, and new ones are too")
{
    dispatcher_fixture f(0);
    f.tested.submit(make_spec("a", 2), "home", f.now);
    CHECK(f.tested.take_finished().empty());
    f.tested.set_evacuated(true, f.now);
    f.tested.submit(make_spec("b", 1), "home", f.now);
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 2);
    for (auto const& each : finished)
    {
        CHECK(each.result.end == job_end::refused);
        CHECK(each.result.reason == end_reason::evacuated);
    }
}

TEST_CASE("runs that are active at an evacuation end well, and nothing more "
          "starts until it is revoked")
{
    dispatcher_fixture f(1);
    f.tested.submit(make_spec("a", 2), "home", f.now);
    f.deliver_orders();
    f.tested.set_evacuated(true, f.now);
    for (int i = 0; i < 4; ++i)
    {
        f.advance(milliseconds(50));
        f.read_all();
        f.deliver_orders();
    }
    auto finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.end == job_end::completed);
    check_nothing_starts(f);
    f.tested.set_evacuated(false, f.now);
    f.tested.submit(make_spec("b", 2), "home", f.now);
    CHECK(f.tested.take_starts().size() == 2);
}

TEST_CASE("a job whose run fails during an evacuation ends as unknown and is "
          "not started again")
{
    dispatcher_fixture f(2);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    f.deliver_orders(true);
    f.tested.set_evacuated(true, f.now);
    check_nothing_starts(f);
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.end == job_end::unknown);
    CHECK(finished[0].result.reason == end_reason::evacuated);
}

TEST_CASE("a start without a response is not repeated during an evacuation, "
          "but stopped")
{
    dispatcher_fixture f(1);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    auto const starts = f.tested.take_starts();
    REQUIRE(starts.size() == 1);
    f.tested.set_evacuated(true, f.now);
    CHECK_FALSE(f.tested.renew_unsent(starts[0]));
    f.advance(milliseconds(25));
    f.tested.start_answered(starts[0], order_response::unanswered, std::nullopt,
                            f.now);
    CHECK(f.tested.take_starts().empty());
    CHECK(f.tested.take_stops().size() == 1);
}

TEST_CASE("an evacuated cell is not chosen, even if it is the only idle one or "
          "the only one")
{
    std::vector<cell_dispatcher> cells(2);
    cells[0].address = "a:1";
    cells[0].claim.cell = "north/0/1";
    cells[0].claim.free_processor = 100'000;
    cells[1].address = "b:1";
    cells[1].claim.cell = "south/0/1";
    cells[1].claim.backlog = milliseconds(500);
    auto const job = make_spec("a", 1);
    tried_cells tried;
    REQUIRE(choose_cell(cells, "north", job, tried));
    CHECK(choose_cell(cells, "north", job, tried)->cell == "north/0/1");
    // Refused before the claim that says so has arrived.
    tried.evacuated.insert("north/0/1");
    REQUIRE(choose_cell(cells, "north", job, tried));
    CHECK(choose_cell(cells, "north", job, tried)->cell == "south/0/1");
    tried = {};
    cells[0].claim.evacuated = true;
    REQUIRE(choose_cell(cells, "north", job, tried));
    CHECK(choose_cell(cells, "north", job, tried)->cell == "south/0/1");
    cells[1].claim.evacuated = true;
    CHECK_FALSE(choose_cell(cells, "north", job, tried));
}

} // namespace masticshift::dispatch
