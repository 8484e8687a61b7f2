// Endpoints that stay slow for some time after their start.

#include "dispatcher_fixture.hpp"

#include <dispatch/endpoint_registry.hpp>

#include <doctest/doctest.h>

namespace masticshift::dispatch
{

namespace
{

using testing::dispatcher_fixture;

void make_cold(dispatcher_fixture& f, std::string const& id,
               milliseconds length)
{
    auto record = make_endpoint(id);
    record.cold_until = f.now + length;
    f.tested.update_endpoint(record);
}

} // namespace

TEST_CASE("a cold endpoint gets work after warm ones of the same rank, and "
          "before them once it is warm")
{
    dispatcher_fixture f(2);
    make_cold(f, "e0", milliseconds(1'000));
    f.tested.submit(make_spec("a", 1), "home", f.now);
    auto const first = f.tested.take_starts();
    REQUIRE(first.size() == 1);
    CHECK(first[0].endpoint == "e1");
    f.tested.cancel("a", f.now);
    f.tested.submit(make_spec("b", 4), "home", f.now);
    CHECK(f.tested.take_starts().size() >= 2);
}

TEST_CASE("the run times of a cold endpoint are not learnt as the speed of "
          "its VM")
{
    dispatcher_fixture f(1);
    make_cold(f, "e0", milliseconds(10'000));
    for (int i = 0; i < 10; ++i)
    {
        f.tested.submit(make_spec("a" + std::to_string(i), 1), "home", f.now);
        f.deliver_orders();
        f.advance(testing::run_time);
        f.advance(testing::run_time);
        f.read_all();
    }
    CHECK(f.tested.take_finished().size() == 10);
    CHECK(f.tested.speeds().speeds().empty());
}

TEST_CASE("an endpoint is cold for the time that its record says from when "
          "that was read")
{
    endpoint_registry registry;
    auto const now = time_point{} + std::chrono::seconds(50);
    versioned_record entry{make_endpoint("e0"), 3};
    entry.record.cold_left = milliseconds(700);
    registry.put(entry);
    auto const changes = registry.take_changes(now);
    REQUIRE(changes.updated.size() == 1);
    CHECK(changes.updated[0].is_cold(now + milliseconds(699)));
    CHECK_FALSE(changes.updated[0].is_cold(now + milliseconds(700)));
    // Its next row says that it is warm.
    entry.record.cold_left = milliseconds(0);
    entry.version = 4;
    registry.put(entry);
    auto const later = registry.take_changes(now);
    REQUIRE(later.updated.size() == 1);
    CHECK_FALSE(later.updated[0].is_cold(now));
}

} // namespace masticshift::dispatch
