#include "crash_history.hpp"

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::dispatch;

namespace
{

time_point const start = time_point{} + std::chrono::seconds(100);

} // namespace

TEST_CASE("crashes are counted by task and forgotten after a while")
{
    crash_history tested;
    CHECK(tested.record("a", start) == 1);
    CHECK(tested.record("b", start + milliseconds(1)) == 1);
    CHECK(tested.record("a", start + milliseconds(2)) == 2);
    CHECK(tested.crashes("a") == 2);
    CHECK(tested.crashes("c") == 0);
    CHECK(tested.record("b", start + milliseconds(15'001)) == 2);
    CHECK(tested.crashes("a") == 1);
}

TEST_CASE("the number of crashes that are kept is bounded")
{
    crash_history tested;
    tested.record("first", start);
    for (int i = 0; i < 10'000; ++i)
        tested.record("task" + std::to_string(i), start);
    CHECK(tested.crashes("first") == 0);
    CHECK(tested.crashes("task9999") == 1);
}
