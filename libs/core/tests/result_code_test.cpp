#include <core/result_code.hpp>

#include <doctest/doctest.h>

#include <algorithm>

using namespace masticshift;

TEST_CASE("result codes are ascending, unique and have a name and advice")
{
    auto const rows = result_codes();
    CHECK(std::ranges::adjacent_find(rows, std::ranges::greater_equal{},
                                     &result_code_info::code) == rows.end());
    for (auto const& row : rows)
    {
        CHECK(result_code_of(static_cast<int>(row.code)) == row.code);
        CHECK(name_of(row.code) == row.name);
        CHECK_FALSE(row.advice.empty());
    }
}

TEST_CASE("the exit code is the hundreds digit of the result code")
{
    CHECK(exit_code_of(result_code::ok) == 0);
    CHECK(exit_code_of(result_code::revision_conflict) == 4);
}
