#include <overload/usable_capacity.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

using namespace masticshift;
using namespace masticshift::overload;

namespace
{

struct filling
{
    std::int64_t used = 0;
    std::int64_t sum = 0;
};

/// Fills servers of 32 and 48 cores with tasks of 16 cores that spread by 20 %,
/// each on the fullest server that it fits on, until one fits nowhere.
filling fill(std::mt19937& random)
{
    std::vector<std::int64_t> free;
    filling result;
    for (int i = 0; i < 88; ++i)
    {
        free.push_back(i % 2 == 0 ? 32'000 : 48'000);
        result.sum += free.back();
    }
    std::normal_distribution<double> spread(0, 0.2);
    while (true)
    {
        auto const need = static_cast<std::int64_t>(
            16'000 * std::min(1.5, std::exp(spread(random))));
        auto best = free.end();
        for (auto each = free.begin(); each != free.end(); ++each)
        {
            if (*each >= need && (best == free.end() || *each < *best))
                best = each;
        }
        if (best == free.end())
            return result;
        *best -= need;
        result.used += need;
    }
}

} // namespace

TEST_CASE("the estimate is within 3 % of random fillings that it has not seen")
{
    std::mt19937 random(17);
    usable_capacity tested;
    auto now = time_point{} + std::chrono::seconds(100);
    for (int i = 0; i < 200; ++i)
    {
        auto const seen = fill(random);
        tested.observe_full(seen.used, seen.sum, now);
        now += milliseconds(10);
    }
    double squares = 0;
    double largest = 0;
    for (int i = 0; i < 100; ++i)
    {
        auto const next = fill(random);
        auto const error = static_cast<double>(tested.of(next.sum)) /
                               static_cast<double>(next.used) -
                           1;
        squares += error * error;
        largest = std::max(largest, std::abs(error));
    }
    MESSAGE("part ", static_cast<double>(tested.of(1'000'000)) / 1e6,
            ", error: root mean square ", std::sqrt(squares / 100),
            ", largest ", largest);
    CHECK(std::sqrt(squares / 100) < 0.03);
}

TEST_CASE("a wrong estimate is bounded: never above the sum nor under half of "
          "it")
{
    usable_capacity tested;
    auto now = time_point{} + std::chrono::seconds(100);
    CHECK(tested.of(1'000) == 1'000);
    for (int i = 0; i < 1'000; ++i)
        tested.observe_full(0, 1'000, now += milliseconds(10));
    CHECK(tested.of(1'000) == 500);
    for (int i = 0; i < 1'000; ++i)
        tested.observe_full(9'000, 1'000, now += milliseconds(10));
    CHECK(tested.of(1'000) <= 1'000);
}
