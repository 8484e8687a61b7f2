#include <test_support/endpoint_model.hpp>

#include <dispatch/endpoint_registry.hpp>

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::dispatch;

namespace
{

time_point const start = time_point{} + std::chrono::seconds(100);

} // namespace

TEST_CASE("a stale read does not restore an older record")
{
    endpoint_registry tested;
    auto draining = make_endpoint("e");
    draining.stage = endpoint_stage::draining;
    tested.put({draining, 7});
    tested.put({make_endpoint("e"), 5});
    auto const changes = tested.take_changes(start);
    REQUIRE(changes.updated.size() == 1);
    CHECK(changes.updated[0].stage == endpoint_stage::draining);
}

TEST_CASE("an endpoint is removed only if missing while the store is readable")
{
    endpoint_registry tested;
    tested.record_read(true, start, start);
    tested.put({make_endpoint("e"), 1});
    tested.take_changes(start);
    tested.drop("e", 2, start);
    auto const later = start + milliseconds(3'000);
    SUBCASE("the store was unavailable meanwhile")
    {
        tested.record_read(false, later - milliseconds(500),
                           later - milliseconds(500));
        tested.record_read(true, later - milliseconds(400),
                           later - milliseconds(400));
        CHECK(tested.take_changes(later).removed.empty());
        CHECK(tested.take_changes(later + milliseconds(2'500)).removed.size() ==
              1);
    }
    SUBCASE("it is registered again")
    {
        tested.put({make_endpoint("e"), 3});
        CHECK(tested.take_changes(later).removed.empty());
    }
    SUBCASE("it does not register again")
    {
        CHECK(tested.take_changes(start + milliseconds(2'000)).removed.empty());
        CHECK(tested.take_changes(later).removed.size() == 1);
    }
}

TEST_CASE("a complete read removes endpoints that it lacks")
{
    endpoint_registry tested;
    tested.record_read(true, start, start);
    tested.put({make_endpoint("a"), 1});
    tested.put({make_endpoint("b"), 2});
    tested.replace({{make_endpoint("a"), 1}}, 9, start);
    tested.take_changes(start);
    auto const later = start + milliseconds(3'000);
    auto const changes = tested.take_changes(later);
    REQUIRE(changes.removed.size() == 1);
    CHECK(changes.removed[0] == "b");
}

TEST_CASE("records are usable for a second from when their read began")
{
    endpoint_registry tested;
    auto const ended = start + milliseconds(240);
    tested.record_read(true, start, ended);
    CHECK(tested.usable_until(ended) == start + milliseconds(1'000));
}

TEST_CASE("records stay in use during an outage of the store, not after one "
          "failed read")
{
    endpoint_registry tested;
    tested.record_read(true, start, start);
    auto const later = start + milliseconds(15'000);
    tested.record_read(false, later, later + milliseconds(10));
    CHECK(tested.usable_until(later + milliseconds(20)) < later);
    CHECK(tested.usable_until(later + milliseconds(600)) == time_point::max());
    tested.record_read(true, later + milliseconds(600),
                       later + milliseconds(610));
    CHECK(tested.usable_until(later + milliseconds(610)) ==
          later + milliseconds(1'600));
}
