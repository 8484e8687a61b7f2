#include "row.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace masticshift;
using namespace masticshift::fault_matrix;

TEST_CASE("every pair of fault and step has a row with a unique name")
{
    std::set<std::string> names;
    for (auto const& each : single_rows())
        names.insert(each.name);
    CHECK(names.size() == faults().size() * steps().size());
}

TEST_CASE("the tables have the order of their enumerations")
{
    for (std::size_t i = 0; i < faults().size(); ++i)
        CHECK(faults()[i].kind == static_cast<fault>(i));
    for (std::size_t i = 0; i < steps().size(); ++i)
        CHECK(steps()[i].kind == static_cast<step>(i));
}

TEST_CASE("the short rows test every rule")
{
    std::set<history::rule> tested;
    for (auto const& each : short_rows())
        tested.insert(each.rule_under_test);
    CHECK(tested.size() == history::rule_count);
}

TEST_CASE("the same seed draws the same pairs, each of two different faults")
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
