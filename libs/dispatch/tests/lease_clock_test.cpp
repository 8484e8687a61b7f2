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

namespace
{

constexpr time_point start = time_point{} + std::chrono::seconds(10);
constexpr milliseconds length{700};

/// An endpoint's clock that runs at a rate of its own.
std::int64_t clock_at(time_point now, double rate)
{
    return static_cast<std::int64_t>(to_milliseconds(now - start) * rate);
}

/// The rest of a lease by the endpoint's clock.
std::int64_t rest(lease_clock const& of, time_point now, double rate)
{
    return of.lease_end(now, length) - clock_at(now, rate);
}

} // namespace

// The first start on an endpoint that had been idle for half a minute got a
// lease of up to a second on a slow clock.
TEST_CASE("a lease is no longer than asked for on a slow clock that was read "
          "long ago")
{
    for (double const rate : {0.98, 0.99, 1.0, 1.01})
    {
        lease_clock tested;
        auto now = start;
        tested.observe(clock_at(now, rate), now, now - milliseconds(2));
        for (int i = 0; i < 50; ++i)
        {
            CHECK(rest(tested, now + milliseconds(200 * i), rate) <=
                  length.count());
        }
        for (int i = 0; i < 50; ++i)
        {
            now += milliseconds(100);
            auto const read = now - milliseconds(1 + i % 5);
            tested.observe(clock_at(read, rate), now, read);
        }
        auto const later = now + std::chrono::seconds(30);
        CHECK(rest(tested, later, rate) <= length.count());
        // The rate is known well by then.
        CHECK(rest(tested, later, rate) > length.count() - 50);
    }
}

TEST_CASE("the rate of a clock is unknown again after a restart")
{
    lease_clock tested;
    auto now = start;
    tested.observe(0, now, now);
    now += std::chrono::seconds(10);
    tested.observe(10'000, now, now);
    tested.reset();
    CHECK_FALSE(tested.known());
    tested.observe(0, now, now);
    now += std::chrono::seconds(10);
    CHECK(tested.lease_end(now, length) <= 9'800 + length.count());
}
