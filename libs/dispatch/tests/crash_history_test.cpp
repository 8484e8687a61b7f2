#include "crash_history.hpp"

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::dispatch;

namespace
{

time_point const start = time_point{} + std::chrono::seconds(100);
constexpr auto sole = crash_evidence::sole;
constexpr auto shared = crash_evidence::shared;
constexpr auto possible = crash_evidence::possible;

} // namespace

TEST_CASE("crashes are counted by task and forgotten after a while")
{
    crash_history tested;
    tested.record("a", sole, start);
    tested.record("b", sole, start + milliseconds(1));
    CHECK(tested.verdict("a") == crash_verdict::may_run);
    tested.record("a", sole, start + milliseconds(2));
    CHECK(tested.crashes("a") == 2);
    CHECK(tested.verdict("a") == crash_verdict::failed);
    CHECK(tested.crashes("c") == 0);
    tested.record("b", sole, start + milliseconds(15'001));
    CHECK(tested.crashes("b") == 2);
    CHECK(tested.verdict("a") == crash_verdict::may_run);
}

TEST_CASE("bystanders of a crash are not counted")
{
    crash_history tested;
    tested.record("a", crash_evidence::bystander, start);
    CHECK(tested.crashes("a") == 0);
}

TEST_CASE("possible crashes alone never show that a task has failed")
{
    crash_history tested;
    tested.record("a", possible, start);
    tested.record("a", sole, start);
    CHECK(tested.verdict("a") == crash_verdict::may_run);
    tested.record("a", possible, start);
    CHECK(tested.verdict("a") == crash_verdict::unknown);
    tested.record("a", sole, start);
    CHECK(tested.verdict("a") == crash_verdict::failed);
}

// The neighbours of a task that crashes its endpoints crash with it.
TEST_CASE("crashes beside other tasks never show that a task has failed")
{
    crash_history tested;
    tested.record("a", shared, start);
    tested.record("a", shared, start);
    CHECK(tested.verdict("a") == crash_verdict::may_run);
    tested.record("a", shared, start);
    CHECK(tested.verdict("a") == crash_verdict::unknown);
}

TEST_CASE("a task has failed when it alone can be the cause of a second crash")
{
    crash_history tested;
    tested.record("a", shared, start);
    tested.record("a", sole, start);
    CHECK(tested.verdict("a") == crash_verdict::failed);
    // An endpoint may crash for another reason just after a task has started.
    tested.record("b", sole, start);
    tested.record("b", shared, start);
    CHECK(tested.verdict("b") == crash_verdict::may_run);
    tested.record("b", shared, start);
    CHECK(tested.verdict("b") == crash_verdict::unknown);
}

TEST_CASE("the number of crashes that are kept is bounded")
{
    crash_history tested;
    tested.record("first", sole, start);
    for (int i = 0; i < 10'000; ++i)
        tested.record("task" + std::to_string(i), sole, start);
    CHECK(tested.crashes("first") == 0);
    CHECK(tested.crashes("task9999") == 1);
}
