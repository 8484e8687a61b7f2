#include <dispatch/endpoint_health.hpp>

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::dispatch;

namespace
{

time_point const now = time_point{} + std::chrono::seconds(100);

} // namespace

TEST_CASE("failed runs in a row eject an endpoint for ever longer times")
{
    endpoint_health tested;
    CHECK(tested.trust(now) == endpoint_trust::full);
    tested.failed(now);
    CHECK(tested.trust(now) == endpoint_trust::probation);
    tested.failed(now);
    CHECK(tested.trust(now) == endpoint_trust::ejected);
    CHECK(tested.trust(now + milliseconds(500)) == endpoint_trust::probation);
    tested.failed(now);
    CHECK(tested.trust(now + milliseconds(500)) == endpoint_trust::ejected);
    tested.succeeded();
    CHECK(tested.trust(now) == endpoint_trust::full);
}

TEST_CASE("a lost answer now and then costs no trust, several in a row do")
{
    endpoint_health tested;
    for (int i = 0; i < 10; ++i)
    {
        tested.unanswered(now);
        tested.unanswered(now);
        CHECK(tested.trust(now) == endpoint_trust::full);
        tested.answered();
    }
    tested.unanswered(now);
    tested.unanswered(now);
    tested.unanswered(now);
    CHECK(tested.trust(now) != endpoint_trust::full);
}
