#include <dispatch/speed_estimator.hpp>

#include <doctest/doctest.h>

#include <limits>

using namespace masticshift;
using namespace masticshift::dispatch;

TEST_CASE("speeds of VMs are separated from errors of the declared run times")
{
    speed_estimator tested;
    constexpr milliseconds estimate{50};
    for (int i = 0; i < 40; ++i)
    {
        tested.observe("q", "fast", estimate, milliseconds(100));
        tested.observe("q", "slow", estimate, milliseconds(220));
    }
    auto const fast = tested.expected("q", "fast", estimate);
    auto const slow = tested.expected("q", "slow", estimate);
    CHECK(to_milliseconds(fast) == doctest::Approx(100).epsilon(0.1));
    CHECK(to_milliseconds(slow) == doctest::Approx(220).epsilon(0.1));
    CHECK(tested.speed("fast") > tested.speed("slow"));
}

TEST_CASE("a run that takes too long lowers the speed of its VM before it ends")
{
    speed_estimator tested;
    tested.observe("q", "vm", milliseconds(50), milliseconds(50));
    tested.observe("q", "vm", milliseconds(50), milliseconds(50));
    tested.observe_lower_bound("q", "vm", milliseconds(50), milliseconds(30));
    CHECK(tested.speed("vm") == doctest::Approx(1));
    tested.observe_lower_bound("q", "vm", milliseconds(50), milliseconds(500));
    CHECK(tested.speed("vm") < 1);
}

TEST_CASE("an adopted speed does not replace a known one")
{
    speed_estimator tested;
    tested.adopt("a", 0.5);
    CHECK(tested.speed("a") == doctest::Approx(0.5));
    tested.adopt("a", 2);
    CHECK(tested.speed("a") == doctest::Approx(0.5));
}

// Speeds come from other processes.
TEST_CASE("a learnt speed that is no number or out of range is not adopted")
{
    constexpr milliseconds estimate{50};
    for (double const odd : {std::numeric_limits<double>::quiet_NaN(),
                             std::numeric_limits<double>::infinity(),
                             -std::numeric_limits<double>::infinity(), -1.0,
                             0.0, std::numeric_limits<double>::min(),
                             std::numeric_limits<double>::max(), 1e-9, 1e9})
    {
        CAPTURE(odd);
        speed_estimator tested;
        tested.adopt("vm", odd);
        CHECK(tested.speed("vm") == doctest::Approx(1));
        CHECK(tested.expected("q", "vm", estimate) == estimate);
    }
    speed_estimator tested;
    tested.adopt("vm", 0.5);
    CHECK(tested.speed("vm") == doctest::Approx(0.5));
}
