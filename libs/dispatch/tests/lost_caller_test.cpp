// Runs whose callers have been told that nobody knows their result.

#include "dispatcher_fixture.hpp"

#include <dispatch/resubmission_bounds.hpp>

using namespace masticshift;
using namespace masticshift::dispatch;
using namespace masticshift::dispatch::testing;

namespace
{

constexpr milliseconds resend_delay{1'300};
constexpr milliseconds long_run{10'000};

start_order start_long_run(dispatcher_fixture& f)
{
    auto spec = make_spec("a", 1);
    spec.steps[0].estimate = long_run;
    spec.caller_timeout = milliseconds(60'000);
    f.tested.submit(spec, "home", f.now);
    auto const starts = f.tested.take_starts();
    REQUIRE(starts.size() == 1);
    f.tested.start_answered(
        starts[0],
        f.models.at("e0").start(starts[0], f.clock(), long_run, false),
        f.clock(), f.now);
    return starts[0];
}

} // namespace

// The caller resends to a cell that knows nothing of the run.
TEST_CASE("a run whose entry has died ends before its caller resends the job, "
          "though no stop arrives")
{
    dispatcher_fixture f(1, {lease_within(milliseconds(1'000)), 1});
    start_long_run(f);
    auto const died = f.now;
    for (int i = 0; i < 50; ++i)
    {
        f.advance(milliseconds(10));
        f.read_all();
    }
    f.tested.cancel_jobs_of_origin("home", f.now);
    f.tested.take_stops();
    f.now = died + resend_delay;
    CHECK(f.models.at("e0").running_tasks(f.clock()).empty());
}

// A dispatcher that was suspended with an order in its queue sent it although
// the job had been cancelled; the next process of the endpoint carried it out.
TEST_CASE("a start that has not been sent when its job ends is not sent")
{
    dispatcher_fixture f(1);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    f.tested.cancel_jobs_of_origin("home", f.now);
    CHECK(f.tested.take_starts().empty());
    f.deliver_orders();
    f.read_all();
    CHECK(f.tested.runs() == 0);
}

// Each repetition renewed the lease of a run whose stop had been lost.
TEST_CASE("a start that is repeated extends no lease while another run there "
          "has to be stopped")
{
    dispatcher_fixture f(1, {lease_within(milliseconds(1'000)), 1});
    start_long_run(f);
    f.tested.submit(make_spec("b", 1), "alive", f.now);
    auto const first = f.tested.take_starts();
    REQUIRE(first.size() == 1);
    f.now += milliseconds(25);
    f.tested.start_answered(first[0], order_response::unanswered, std::nullopt,
                            f.now);
    auto const second = f.tested.take_starts();
    REQUIRE(second.size() == 1);
    CHECK(second[0].lease_until > first[0].lease_until);
    f.tested.cancel_jobs_of_origin("home", f.now);
    f.now += milliseconds(25);
    f.tested.start_answered(second[0], order_response::unanswered, std::nullopt,
                            f.now);
    auto const third = f.tested.take_starts();
    REQUIRE(third.size() == 1);
    CHECK(third[0].lease_until == second[0].lease_until);
}

TEST_CASE("a job that arrives after its caller's timeout starts nothing")
{
    dispatcher_fixture f(1);
    auto spec = make_spec("a", 1);
    spec.age = spec.caller_timeout;
    f.tested.submit(spec, "home", f.now);
    CHECK(f.tested.take_starts().empty());
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.end == job_end::refused);
    CHECK(finished[0].result.reason == end_reason::out_of_time);
}
