// All entries start at once.

#include "deployment.hpp"

#include <doctest/doctest.h>

using namespace masticshift;
using masticshift::gateway::deployment;

namespace
{

constexpr int entries = 4;
constexpr int endpoints = 15;
constexpr milliseconds answer_timeout{5'000};

} // namespace

// Callers of an entry that says yes too soon are refused.
TEST_CASE("entries that have all started at once serve jobs when they are "
          "ready")
{
    deployment tested;
    tested.add_endpoints("north", endpoints);
    tested.add_endpoints("south", endpoints);
    for (int i = 0; i < entries; ++i)
        tested.add_gateway(i % 2 == 0 ? "north" : "south", 0.25);
    std::vector<std::shared_ptr<deployment::pending_answer>> answers;
    for (std::size_t i = 0; i < entries; ++i)
    {
        REQUIRE(tested.run_until_ready(i));
        answers.push_back(tested.submit(i, static_cast<unsigned>(i + 1)));
    }
    for (auto const& answer : answers)
    {
        REQUIRE(tested.run_until(
            [&]
            {
                return answer->status != 0;
            },
            answer_timeout));
        CHECK(answer->status == 200);
    }
    // The recovery ends a second after the last refusal.
    CHECK(tested.run_until(
        [&]
        {
            return tested.metric(0, "masticshift_recovery_milliseconds") > 0;
        },
        answer_timeout));
}
