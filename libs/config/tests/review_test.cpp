#include <config/difference.hpp>
#include <config/review.hpp>

#include <doctest/doctest.h>

#include <algorithm>

using namespace masticshift;
using namespace masticshift::config;

namespace
{

/// One endpoint, and one service that uses it and suits it.
operator_configuration make_valid()
{
    operator_configuration made;
    made.data_centres["a"] = {"a", "region", {}};
    made.endpoints["a1"] = {"a1", "10.0.0.1", 1, "a", 8, 8, 1, 1'000};
    service_config stock;
    stock.name = "stock";
    stock.endpoints = {"a1"};
    stock.needs_accelerators = 1;
    stock.needs_memory_mb = 1'000;
    stock.run_time = stock.timeout;
    made.services["stock"] = stock;
    return made;
}

/// The only finding after a change of a valid configuration, as
/// `LEVEL PLACE`.
template <class Change>
std::string finding_after(Change const& change)
{
    auto changed = make_valid();
    change(changed);
    auto const found = review(changed);
    REQUIRE(found.size() == 1);
    return std::string(name_of(found.front().level)) + " " +
           found.front().place;
}

} // namespace

TEST_CASE("limits that just fit are no finding")
{
    CHECK(review(make_valid()).empty());
}

TEST_CASE("what can never match and limits that contradict are found")
{
    using configuration = operator_configuration;
    CHECK(finding_after(
              [](configuration& each)
              {
                  each.services["stock"].timeout -= milliseconds(1);
              }) == "error service.stock.timeout_ms");
    CHECK(finding_after(
              [](configuration& each)
              {
                  each.services["stock"].endpoints.push_back("a1");
              }) == "warning service.stock.endpoints");
    CHECK(finding_after(
              [](configuration& each)
              {
                  each.endpoints["a1"].connections = 7;
              }) == "warning endpoint.a1.connections");
    CHECK(finding_after(
              [](configuration& each)
              {
                  each.data_centres["b"] = {"b", "region", {}};
              }) == "warning data_centre.b");
    CHECK(finding_after(
              [](configuration& each)
              {
                  each.endpoints["a2"] = each.endpoints["a1"];
                  each.endpoints["a2"].name = "a2";
              }) == "warning endpoint.a2");
    CHECK(finding_after(
              [](configuration& each)
              {
                  each.endpoints["a2"] = each.endpoints["a1"];
                  each.endpoints["a2"].accelerators = 0;
                  each.endpoints["a2"].name = "a2";
                  each.services["stock"].endpoints.push_back("a2");
              }) == "warning service.stock.endpoints");
}

TEST_CASE("errors come before warnings")
{
    auto changed = make_valid();
    changed.endpoints["a1"].memory_mb = 999;
    auto const found = review(changed);
    REQUIRE(found.size() == 2);
    CHECK(found.front().level == finding_level::error);
    CHECK(found.back().detail ==
          "'a1' is never used: it has 999 MB of memory, a task needs 1000");
}

TEST_CASE("differences name added and removed tables and changed keys")
{
    auto const from = make_valid();
    auto to = from;
    CHECK(differences(from, to).empty());
    to.services["stock"].timeout = milliseconds(500);
    to.services["prices"] = to.services["stock"];
    to.endpoints.erase("a1");
    auto const found = differences(from, to);
    REQUIRE(found.size() == 3);
    CHECK(found[0].place == "endpoint.a1");
    CHECK(found[0].to.empty());
    CHECK(found[1].place == "service.stock.timeout_ms");
    CHECK(found[1].from == "10000");
    CHECK(found[1].to == "500");
    CHECK(found[2].place == "service.prices");
    CHECK(found[2].from.empty());
}
