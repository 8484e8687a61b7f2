#include "recovery_phases.hpp"

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::gateway;
using enum recovery_phase;

namespace
{

constexpr time_point start{std::chrono::seconds(1'000)};

constexpr time_point at(int ms)
{
    return start + milliseconds(ms);
}

} // namespace

TEST_CASE("the first time of a phase counts")
{
    recovery_phases phases(start);
    CHECK(!phases.reached(first_peer));
    phases.reach(first_peer, at(120));
    phases.reach(first_peer, at(500));
    CHECK(phases.reached(first_peer) == milliseconds(120));
}

TEST_CASE("half and all of the endpoints are reached at different times, and a "
          "cell without endpoints reaches neither")
{
    recovery_phases phases(start);
    phases.record_listed(0, 0, at(5));
    phases.record_listed(1, 3, at(10));
    CHECK(!phases.reached(half_listed));
    phases.record_listed(2, 3, at(20));
    phases.record_listed(3, 3, at(30));
    CHECK(phases.reached(half_listed) == milliseconds(20));
    CHECK(phases.reached(all_listed) == milliseconds(30));
}

// A gap between two refusals is no recovery.
TEST_CASE("full rate begins with the last refusal before a second without one")
{
    recovery_phases phases(start);
    phases.record_refusal(at(200));
    phases.reach(first_claim, at(400));
    CHECK(!phases.has_ended(at(1'300)));
    phases.record_refusal(at(1'350));
    CHECK(!phases.has_ended(at(2'300)));
    CHECK(phases.has_ended(at(2'350)));
    CHECK(phases.reached(full_rate) == milliseconds(1'350));
    CHECK(!phases.has_ended(at(2'400)));
}

TEST_CASE("an entry that dispatches has not recovered before half of its "
          "endpoints are listed")
{
    recovery_phases phases(start);
    phases.reach(first_claim, at(300));
    phases.reach(cell_taken, at(300));
    CHECK(phases.is_starting(at(310)));
    CHECK(!phases.has_ended(at(5'000)));
    phases.record_listed(1, 2, at(5'010));
    CHECK(!phases.is_starting(at(5'020)));
    CHECK(phases.has_ended(at(5'020)));
}

TEST_CASE("a recovery that does not end is reported, and checked seldom")
{
    recovery_phases phases(start);
    CHECK(!phases.is_starting(at(4'000)));
    CHECK(!phases.has_ended(at(29'999)));
    CHECK(phases.has_ended(at(30'000)));
    CHECK(!phases.reached(full_rate));
}
