#include "crash_history.hpp"

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::dispatch;

namespace
{

time_point const start = time_point{} + std::chrono::seconds(100);
constexpr auto certain = crash_evidence::certain;
constexpr auto possible = crash_evidence::possible;

} // namespace

TEST_CASE("crashes are counted by task and forgotten after a while")
{
    crash_history tested;
    tested.record("a", certain, start);
    tested.record("b", certain, start + milliseconds(1));
    CHECK(tested.verdict("a") == crash_verdict::may_run);
    tested.record("a", certain, start + milliseconds(2));
    CHECK(tested.crashes("a") == 2);
    CHECK(tested.verdict("a") == crash_verdict::failed);
    CHECK(tested.crashes("c") == 0);
    tested.record("b", certain, start + milliseconds(15'001));
    CHECK(tested.crashes("b") == 2);
    CHECK(tested.verdict("a") == crash_verdict::may_run);
}

TEST_CASE("possible crashes alone never show that a task has failed")
{
    crash_history tested;
    tested.record("a", possible, start);
    tested.record("a", certain, start);
    CHECK(tested.verdict("a") == crash_verdict::may_run);
    tested.record("a", possible, start);
    CHECK(tested.verdict("a") == crash_verdict::unknown);
    tested.record("a", certain, start);
    CHECK(tested.verdict("a") == crash_verdict::failed);
}

TEST_CASE("the number of crashes that are kept is bounded")
{
    crash_history tested;
    tested.record("first", certain, start);
    for (int i = 0; i < 10'000; ++i)
        tested.record("task" + std::to_string(i), certain, start);
    CHECK(tested.crashes("first") == 0);
    CHECK(tested.crashes("task9999") == 1);
}
