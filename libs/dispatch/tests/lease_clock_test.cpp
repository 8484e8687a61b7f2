#include <dispatch/lease_clock.hpp>

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::dispatch;

TEST_CASE("a lease counts as ended only when a slow clock has passed its end")
{
    lease_clock tested;
    time_point const now = time_point{} + std::chrono::seconds(10);
    tested.observe(5'000, now);
    auto const until = tested.lease_end(now, milliseconds(1'000));
    CHECK(until == 6'000);
    // The endpoint's clock runs 2 % slow.
    CHECK(tested.time_when_passed(until) >= now + milliseconds(1'020));
}

TEST_CASE("a response that arrives out of order does not set the clock back")
{
    lease_clock tested;
    time_point const now = time_point{} + std::chrono::seconds(10);
    tested.observe(5'000, now);
    tested.observe(4'000, now + milliseconds(10));
    CHECK(tested.lease_end(now, milliseconds(0)) == 5'000);
}
