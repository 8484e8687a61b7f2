#include <dispatch/evacuation_reads.hpp>

#include <doctest/doctest.h>

namespace masticshift::dispatch
{

namespace
{

constexpr time_point start = time_point{} + std::chrono::seconds(1'000);

constexpr time_point at(int ms)
{
    return start + milliseconds(ms);
}

} // namespace

TEST_CASE("nothing may start before the list was read once, even if the store "
          "is down")
{
    evacuation_reads tested;
    tested.observe(at(0));
    CHECK_FALSE(tested.is_usable(at(0)));
    tested.record_failure(at(0));
    for (int ms = 0; ms <= 5'000; ms += 50)
        tested.observe(at(ms));
    CHECK_FALSE(tested.is_usable(at(5'000)));
    CHECK(tested.is_overdue(at(5'000)));
    tested.record_read(at(5'000));
    CHECK(tested.is_usable(at(5'001)));
    CHECK_FALSE(tested.is_overdue(at(5'001)));
}

TEST_CASE("after a pause a read from before it does not count")
{
    evacuation_reads tested;
    tested.observe(at(0));
    tested.record_read(at(0));
    // Before the first step after the pause, too.
    CHECK_FALSE(tested.is_usable(at(2'000)));
    tested.observe(at(2'000));
    CHECK(tested.is_needed());
    tested.record_read(at(100));
    CHECK_FALSE(tested.is_usable(at(2'001)));
    tested.record_read(at(2'001));
    CHECK(tested.is_usable(at(2'005)));
}

TEST_CASE("the last list applies while the store is away, after a pause once "
          "reads have failed for 500 ms")
{
    evacuation_reads tested;
    tested.observe(at(0));
    tested.record_read(at(0));
    for (int ms = 0; ms <= 9'000; ms += 50)
        tested.observe(at(ms));
    tested.record_failure(at(1'000));
    CHECK(tested.is_usable(at(9'000)));
    tested.observe(at(12'000));
    // Failed calls from before the pause say nothing of the present.
    tested.record_failure(at(8'990));
    CHECK_FALSE(tested.is_usable(at(12'600)));
    // One call that fails is no outage, however long ago it was made.
    tested.record_failure(at(12'050));
    tested.observe(at(12'700));
    CHECK_FALSE(tested.is_usable(at(12'700)));
    tested.record_failure(at(12'549));
    CHECK_FALSE(tested.is_usable(at(12'800)));
    tested.record_failure(at(12'550));
    CHECK(tested.is_usable(at(12'800)));
}

// All entries fetched the list from one peer in a third of the time.
TEST_CASE("a watch call that ends each 900 ms is never overdue")
{
    evacuation_reads tested;
    tested.observe(at(0));
    tested.record_read(at(0));
    for (int ms = 0; ms < 9'000; ms += 50)
    {
        tested.observe(at(ms));
        if (ms >= 900 && ms % 900 == 0)
            tested.record_read(at(ms - 900));
        CHECK_FALSE(tested.is_overdue(at(ms)));
    }
}

} // namespace masticshift::dispatch
