#include <test_support/reserved_port.hpp>

#include <doctest/doctest.h>

#include <set>
#include <vector>

using namespace masticshift::test_support;

TEST_CASE("no port is reserved twice at the same time")
{
    constexpr std::size_t count = 900;
    std::vector<reserved_port> ports(count);
    std::set<std::uint16_t> numbers;
    for (auto const& port : ports)
        numbers.insert(port.address().port);
    CHECK(numbers.size() == count);
}
