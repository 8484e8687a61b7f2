#include <core/result_code.hpp>

#include <doctest/doctest.h>

#include <fstream>
#include <string>
#include <vector>

using namespace masticshift;

TEST_CASE("docs/ERRORS.md lists the same result codes as the code")
{
    std::ifstream page(MASTICSHIFT_SOURCE_DIR "/docs/ERRORS.md");
    REQUIRE(page.is_open());
    std::vector<std::string> found;
    for (std::string line; std::getline(page, line);)
    {
        if (line.starts_with("| ") && !line.starts_with("| number"))
            found.push_back(line);
    }
    std::vector<std::string> expected;
    for (auto const& row : result_codes())
    {
        expected.push_back("| " + std::to_string(static_cast<int>(row.code)) +
                           " | `" + std::string(row.name) + "` | " +
                           std::to_string(row.http_status) + " | " +
                           std::string(row.advice) + " |");
    }
    CHECK(found == expected);
}
