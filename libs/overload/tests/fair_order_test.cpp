#include <overload/demand_estimator.hpp>
#include <overload/fair_order.hpp>
#include <overload/fair_share.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <vector>

using namespace masticshift;
using namespace masticshift::overload;

namespace
{

time_point const start = time_point{} + std::chrono::seconds(100);

/// Serves jobs of 1 unit while all priorities have some waiting, and counts
/// them.
std::map<int, int> serve(fair_share& shares, std::vector<int> const& priorities,
                         int jobs)
{
    std::map<int, int> served;
    for (int i = 0; i < jobs; ++i)
    {
        auto const first =
            *std::ranges::min_element(priorities, {},
                                      [&](int each)
                                      {
                                          return shares.tag(each);
                                      });
        shares.charge(first, 1);
        ++served[first];
    }
    return served;
}

} // namespace

TEST_CASE("no priority starves: while all wait, each gets its part by weight")
{
    fair_share shares;
    for (int priority = 0; priority < 3; ++priority)
        shares.activate(priority);
    auto const served = serve(shares, {0, 1, 2}, 700);
    CHECK(served.at(0) == doctest::Approx(400).epsilon(0.01));
    CHECK(served.at(1) == doctest::Approx(200).epsilon(0.01));
    CHECK(served.at(2) == doctest::Approx(100).epsilon(0.02));
}

TEST_CASE("a priority that was idle is served first, but saves up no claim")
{
    fair_share shares;
    shares.activate(0);
    shares.activate(2);
    shares.deactivate(0);
    for (int i = 0; i < 50; ++i)
        shares.charge(2, 1);
    shares.activate(0);
    CHECK(shares.tag(0) <= shares.tag(2));
    auto const served = serve(shares, {0, 2}, 50);
    CHECK(served.at(2) >= 9);
}

TEST_CASE("a job that can't be served now takes nothing of its priority")
{
    using iterator = std::array<int, 2>::const_iterator;
    std::array<int, 2> const urgent{1, 2};
    std::array<int, 2> const other{3, 4};
    std::vector<waiting_class<iterator>> const classes{
        {urgent.begin(), urgent.end(), 0, 4},
        {other.begin(), other.end(), 0, 2}};
    std::vector<int> visited;
    CHECK(visit_fairly(classes,
                       [&](int job) -> std::optional<double>
                       {
                           visited.push_back(job);
                           return job == 1 ? 0 : 1;
                       }));
    CHECK(visited == std::vector<int>{1, 2, 3, 4});
}

TEST_CASE(
    "the rate of a priority is its share, and what others leave of theirs")
{
    demand_estimator demand;
    // 100 units of capacity for one second each.
    demand.add(0, 20 * 1'000, start);
    demand.add(1, 500 * 1'000, start);
    demand.add(2, 500 * 1'000, start);
    CHECK(demand.rate(2, 100, start) == doctest::Approx(80.0 / 3));
    CHECK(demand.rate(0, 100, start) == doctest::Approx(400.0 / 7));
    // A minute later nothing is left of that demand.
    auto const later = start + std::chrono::minutes(1);
    CHECK(demand.rate(2, 100, later) == doctest::Approx(100));
}
