// A job that its caller submits again while runs of its last submission go on.

#include "dispatcher_fixture.hpp"

using namespace masticshift;
using namespace masticshift::dispatch;
using namespace masticshift::dispatch::testing;

namespace
{

/// A dispatcher without free capacity: the tasks of job "a" fill its endpoint.
struct full_endpoint : dispatcher_fixture
{
    full_endpoint() : dispatcher_fixture(1)
    {
        tested.submit(make_spec("a", 2), "first", now);
        deliver_orders();
        REQUIRE(tested.runs() == 2);
    }

    /// The result of the job for this origin, if it has ended.
    std::optional<job_result> result_for(std::string const& origin)
    {
        for (auto& each : tested.take_finished())
        {
            if (each.origin == origin)
                return each.result;
        }
        return std::nullopt;
    }
};

} // namespace

// The entry of a job that was refused as "busy" sent it to another dispatcher,
// which started the tasks while their first runs were being stopped.
TEST_CASE("a resubmitted job is not sent elsewhere while its first runs are "
          "being stopped")
{
    full_endpoint f;
    auto again = make_spec("a", 2);
    again.only_if_idle = true;
    f.tested.submit(again, "second", f.now);
    CHECK_FALSE(f.result_for("second").has_value());
    std::optional<job_result> result;
    for (int i = 0; i < 20 && !result; ++i)
    {
        f.deliver_orders();
        f.advance(milliseconds(10));
        f.read_all();
        result = f.result_for("second");
    }
    REQUIRE(result.has_value());
    CHECK(result->end == job_end::completed);
}

// Without runs of its own the cell sends it elsewhere as before.
TEST_CASE("a job that asks for idle endpoints is refused by a full cell")
{
    full_endpoint f;
    auto other = make_spec("b", 2);
    other.only_if_idle = true;
    f.tested.submit(other, "second", f.now);
    auto const result = f.result_for("second");
    REQUIRE(result.has_value());
    CHECK(result->end == job_end::refused);
    CHECK(result->reason == end_reason::busy_cell);
}

// A refusal says that nothing runs.
TEST_CASE("a retiring dispatcher does not refuse a job whose first runs are "
          "being stopped")
{
    full_endpoint f;
    f.tested.retire(f.now);
    f.tested.submit(make_spec("a", 2), "second", f.now);
    auto const result = f.result_for("second");
    REQUIRE(result.has_value());
    CHECK(result->end == job_end::unknown);
}

TEST_CASE("a job that is given up while its first runs are being stopped has "
          "an unknown result")
{
    full_endpoint f;
    f.tested.submit(make_spec("a", 2), "second", f.now);
    f.tested.take_finished();
    f.tested.take_stops();
    for (int i = 0; i < 6 && f.tested.jobs() > 0; ++i)
        f.advance(milliseconds(100));
    auto const result = f.result_for("second");
    REQUIRE(result.has_value());
    CHECK(result->end == job_end::unknown);
}
