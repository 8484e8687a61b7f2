#include <membership/succession_table.hpp>

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::membership;

namespace
{

constexpr auto start = time_point{} + std::chrono::hours{1};
constexpr milliseconds retention{600'000};

process_id const stopped{"10.0.0.1:1", 1};
process_id const first{"10.0.0.2:1", 5};
process_id const second{"10.0.0.3:1", 6};

} // namespace

TEST_CASE("the latest handover decides the successor in any order of arrival")
{
    succession_table table(retention);
    CHECK(table.add({stopped, second, 2}, start));
    CHECK_FALSE(table.add({stopped, first, 1}, start));
    CHECK(table.successor_of(stopped) == second);
    CHECK_FALSE(table.successor_of({"10.0.0.1:1", 2}).has_value());

    succession_table one(retention);
    succession_table other(retention);
    one.add({stopped, first}, start);
    one.add({stopped, second}, start);
    other.add({stopped, second}, start);
    other.add({stopped, first}, start);
    CHECK(one.successor_of(stopped) == other.successor_of(stopped));
    CHECK(one.digest() == other.digest());
}

TEST_CASE(
    "a succession that peers resend to each other ends with its retention")
{
    succession_table one(retention);
    succession_table other(retention);
    one.add({stopped, first}, start);
    auto now = start;
    for (int i = 0; i < 20; ++i)
    {
        now += retention / 10;
        one.expire(now);
        other.expire(now);
        one.resend(now);
        other.resend(now);
        for (auto const& entry : one.recent_updates(now))
            other.add(entry, now);
        for (auto const& entry : other.recent_updates(now))
            one.add(entry, now);
    }
    CHECK(one.size() + other.size() == 0);
}

TEST_CASE(
    "the number of successions is bounded, and the oldest are dropped first")
{
    succession_table table(retention);
    for (std::size_t i = 0; i <= succession_table::max_entries; ++i)
    {
        auto const incarnation = static_cast<std::int64_t>(i);
        table.add({{"10.0.0.1:1", incarnation}, first},
                  start + milliseconds{incarnation});
    }
    CHECK(table.size() == succession_table::max_entries);
    CHECK_FALSE(table.successor_of({"10.0.0.1:1", 0}).has_value());
}
