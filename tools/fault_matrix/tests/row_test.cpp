#include "row.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace masticshift;
using namespace masticshift::fault_matrix;

TEST_CASE("every fault meets every step under a name of its own")
{
    std::set<std::string> names;
    for (auto const& each : single_rows())
        names.insert(each.name);
    CHECK(names.size() == faults().size() * steps().size());
}

TEST_CASE("the tables stand in the order of their enumerations")
{
    for (std::size_t i = 0; i < faults().size(); ++i)
        CHECK(faults()[i].kind == static_cast<fault>(i));
    for (std::size_t i = 0; i < steps().size(); ++i)
        CHECK(steps()[i].kind == static_cast<step>(i));
}

TEST_CASE("the short set guards every rule")
{
    std::set<history::rule> guarded;
    for (auto const& each : short_rows())
        guarded.insert(each.guards);
    CHECK(guarded.size() == history::rule_count);
}

TEST_CASE("a seed draws the same pairs again, each of two different faults")
{
    auto const pairs = pair_rows(50, 7);
    auto const again = pair_rows(50, 7);
    for (std::size_t i = 0; i < pairs.size(); ++i)
    {
        CHECK(pairs[i].name == again[i].name);
        REQUIRE(pairs[i].faults.size() == 2);
        CHECK(pairs[i].faults[0] != pairs[i].faults[1]);
    }
}
