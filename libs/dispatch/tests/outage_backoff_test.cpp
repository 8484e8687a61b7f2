#include <dispatch/outage_backoff.hpp>

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::dispatch;

namespace
{

constexpr time_point start{std::chrono::seconds(1'000)};

/// Calls at the times that the back-off gives, for as long as an outage lasts.
/// Returns how many there were, and leaves `now` at the call that was answered.
int attempts_in_outage(outage_backoff& backoff, time_point& now,
                       milliseconds length)
{
    auto const end = now + length;
    int attempts = 0;
    while (now < end)
    {
        now += backoff.failed(now);
        ++attempts;
    }
    backoff.answered(now);
    return attempts;
}

} // namespace

// A restarted endpoint is found no later than before.
TEST_CASE("the end of a single outage is found within 100 ms")
{
    outage_backoff backoff;
    auto now = start;
    for (int i = 0; i < 50; ++i)
    {
        auto const pause = backoff.failed(now);
        CHECK(pause <= milliseconds(100));
        now += pause;
    }
    backoff.answered(now);
    now += milliseconds(3'100);
    CHECK(backoff.failed(now) == milliseconds(10));
}

// Endpoints that alternate between down and up got ten attempts to connect in
// each outage.
TEST_CASE("outages that follow each other get fewer attempts, and up to two "
          "seconds without a response")
{
    outage_backoff backoff;
    auto now = start;
    CHECK(attempts_in_outage(backoff, now, milliseconds(700)) > 5);
    int attempts = 0;
    for (int i = 0; i < 20; ++i)
    {
        now += milliseconds(700);
        auto const begun = now;
        attempts += attempts_in_outage(backoff, now, milliseconds(700));
        CHECK(now - begun <= milliseconds(2'000));
    }
    CHECK(attempts < 30);
}

// Lost responses are no reason to leave an endpoint alone.
TEST_CASE("short failures do not add up to outages")
{
    outage_backoff backoff;
    auto now = start;
    for (int i = 0; i < 100; ++i)
    {
        attempts_in_outage(backoff, now, milliseconds(150));
        now += milliseconds(50);
    }
    CHECK(backoff.failed(now) == milliseconds(10));
}
