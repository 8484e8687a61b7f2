// Jobs that their callers cancel, at any entry.

#include "deployment.hpp"

#include <doctest/doctest.h>

using namespace masticshift;
using masticshift::gateway::deployment;

namespace
{

constexpr milliseconds answer_timeout{3'500};
constexpr milliseconds long_run{2'500};

bool run_until_answered(
    deployment& fixture,
    std::shared_ptr<deployment::pending_answer> const& answer)
{
    return fixture.run_until(
        [&]
        {
            return answer->status != 0;
        },
        answer_timeout);
}

} // namespace

TEST_CASE("a job that is cancelled at another entry than its own ends, and "
          "stays cancelled when it is submitted again")
{
    deployment fixture;
    fixture.add_endpoints("north", 2);
    fixture.add_endpoints("south", 2);
    fixture.add_gateway("north", 0.25);
    fixture.add_gateway("south", 0.25);
    REQUIRE(fixture.run_until_ready(0));
    REQUIRE(fixture.run_until_ready(1));
    fixture.platform().configure(2, long_run);
    auto const submitted = fixture.submit(0, 7, 1);
    REQUIRE(fixture.run_until(
        [&]
        {
            return fixture.platform().findings().starts == 1;
        },
        answer_timeout));
    auto const cancelled = fixture.cancel(1, 7);
    REQUIRE(run_until_answered(fixture, cancelled));
    CHECK(cancelled->status == 200);
    REQUIRE(run_until_answered(fixture, submitted));
    CHECK(submitted->status == 200);
    CHECK(submitted->body == R"({"state":"cancelled"})");

    auto const again = fixture.submit(0, 7, 1);
    REQUIRE(run_until_answered(fixture, again));
    CHECK(again->status == 200);
    CHECK(again->body == R"({"state":"cancelled"})");
    fixture.run(milliseconds(300));
    CHECK(fixture.platform().findings().starts == 1);
}

TEST_CASE("the cancellation of a job that no entry knows is answered at once, "
          "and nothing of it starts later")
{
    deployment fixture;
    fixture.add_endpoints("north", 2);
    fixture.add_gateway("north", 0.25);
    fixture.add_gateway("north", 0.25);
    REQUIRE(fixture.run_until_ready(0));
    REQUIRE(fixture.run_until_ready(1));
    auto const cancelled = fixture.cancel(0, 9);
    REQUIRE(run_until_answered(fixture, cancelled));
    CHECK(cancelled->status == 410);
    // A repetition finds no job either.
    auto const repeated = fixture.cancel(0, 9);
    REQUIRE(run_until_answered(fixture, repeated));
    CHECK(repeated->status == 410);
    auto const submitted = fixture.submit(1, 9, 1);
    REQUIRE(run_until_answered(fixture, submitted));
    CHECK(submitted->status == 200);
    CHECK(submitted->body == R"({"state":"cancelled"})");
    CHECK(fixture.platform().findings().starts == 0);
}
