// Cases for known_red_test.sh. Not registered with ctest: one of them fails.

#include <doctest/doctest.h>

#include <cstdlib>

TEST_CASE("a case that passes")
{
}

TEST_CASE("a case that fails, and has a comma in its name")
{
    CHECK(false);
}

TEST_CASE("a case that fails")
{
    CHECK(std::getenv("KNOWN_RED_SAMPLE_PASSES") != nullptr);
}
