#include <dispatch/trust_tracker.hpp>

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::dispatch;

namespace
{

time_point const now = time_point{} + std::chrono::seconds(100);

} // namespace

TEST_CASE("failed runs in a row eject an endpoint for increasing times")
{
    trust_tracker tested;
    CHECK(tested.trust(now) == endpoint_trust::full);
    tested.failed(endpoint_failure::run_failed, now);
    CHECK(tested.trust(now) == endpoint_trust::probation);
    tested.failed(endpoint_failure::run_failed, now);
    CHECK(tested.trust(now) == endpoint_trust::ejected);
    CHECK(tested.trust(now + milliseconds(500)) == endpoint_trust::probation);
    tested.failed(endpoint_failure::run_failed, now);
    CHECK(tested.trust(now + milliseconds(500)) == endpoint_trust::ejected);
    tested.succeeded();
    CHECK(tested.trust(now) == endpoint_trust::full);
}

TEST_CASE("single lost responses cost no trust, several in a row do")
{
    trust_tracker tested;
    for (int i = 0; i < 10; ++i)
    {
        CHECK_FALSE(tested.unanswered());
        CHECK_FALSE(tested.unanswered());
        CHECK(tested.trust(now) == endpoint_trust::full);
        tested.answered();
    }
    CHECK_FALSE(tested.unanswered());
    CHECK_FALSE(tested.unanswered());
    CHECK(tested.unanswered());
    tested.failed(endpoint_failure::unanswered, now);
    CHECK(tested.trust(now) != endpoint_trust::full);
    CHECK(tested.last_failure() == endpoint_failure::unanswered);
}
