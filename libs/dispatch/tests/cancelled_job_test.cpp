#include "dispatcher_fixture.hpp"

#include <dispatch/cancelled_jobs.hpp>

#include <doctest/doctest.h>

#include <string>

namespace masticshift::dispatch
{

namespace
{

constexpr time_point start = time_point{} + std::chrono::seconds(1'000);

} // namespace

TEST_CASE("a cancelled id is remembered for 15 s from its caller's request")
{
    cancelled_jobs tested;
    auto const later = start + milliseconds(2'000);
    CHECK(tested.record("a", start, later));
    CHECK(tested.contains("a", start + cancelled_jobs::retention));
    CHECK_FALSE(tested.contains("a", start + cancelled_jobs::retention +
                                         milliseconds(1)));
    CHECK_FALSE(tested.contains("b", later));
    // A repetition of the same request extends nothing.
    CHECK_FALSE(tested.record("a", start, later));
    CHECK(tested.size() == 1);
}

TEST_CASE("a flood of cancellations drops the oldest ids, and no newer ones")
{
    cancelled_jobs tested;
    for (std::size_t i = 0; i < cancelled_jobs::capacity + 100; ++i)
        tested.record(std::to_string(i), start, start);
    CHECK(tested.size() <= cancelled_jobs::capacity);
    CHECK(
        tested.contains(std::to_string(cancelled_jobs::capacity + 99), start));
    CHECK_FALSE(tested.contains("0", start));
}

// DELETE was answered, and tasks of the job started seconds later (review/8).
TEST_CASE("nothing of a cancelled job starts any more, and its runs are "
          "stopped")
{
    testing::dispatcher_fixture f(1);
    f.tested.submit(make_spec("a", 2), "home", f.now);
    f.deliver_orders();
    CHECK(f.tested.cancel("a", f.now));
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.end == job_end::cancelled);
    CHECK(finished[0].result.reason == end_reason::cancelled);
    f.deliver_orders();
    f.read_all();
    CHECK(f.models.at("e0").running_tasks(f.clock()).empty());
    for (int i = 0; i < 20; ++i)
    {
        f.advance(milliseconds(50));
        f.read_all();
        CHECK(f.tested.take_starts().empty());
    }
    CHECK(f.tested.runs() == 0);
}

TEST_CASE("a job of which nothing was started is refused when it is cancelled")
{
    testing::dispatcher_fixture f(0);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    CHECK_FALSE(f.tested.cancel("b", f.now));
    CHECK(f.tested.cancel("a", f.now));
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.end == job_end::refused);
    CHECK(finished[0].result.reason == end_reason::cancelled);
}

} // namespace masticshift::dispatch
