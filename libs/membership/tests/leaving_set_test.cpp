#include <membership/leaving_set.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace masticshift;
using namespace masticshift::membership;

namespace
{

constexpr auto start = time_point{} + std::chrono::hours{1};

} // namespace

TEST_CASE(
    "a notice of a peer is valid until a newer list shows the endpoint live")
{
    leaving_set leaving;
    leaving.apply_list({100, {{"e1"}, {"e2"}}}, start);
    CHECK(leaving.receive({{"e1", 200}}, "peer", start));
    CHECK(leaving.is_leaving("e1"));
    leaving.apply_list({150, {{"e1"}, {"e2"}}}, start);
    CHECK(leaving.is_leaving("e1"));
    leaving.apply_list({201, {{"e1"}, {"e2"}}}, start);
    CHECK_FALSE(leaving.is_leaving("e1"));
    CHECK_FALSE(leaving.receive({{"e1", 200}}, "peer", start));
    CHECK_FALSE(leaving.is_leaving("e1"));
}

TEST_CASE("an entry without the list learns that an endpoint returned")
{
    leaving_set with_list;
    leaving_set without_list;
    with_list.apply_list({100, {{"e1", true}}}, start);
    without_list.receive(with_list.recent_updates(start), "p", start);
    CHECK(without_list.is_leaving("e1"));
    with_list.apply_list({200, {{"e1"}}}, start);
    // The return was forgotten before the two entries exchanged heartbeats
    // again.
    auto const later = start + leaving_set::returned_retention;
    with_list.expire(later);
    CHECK(with_list.recent_updates(start).empty());
    CHECK(with_list.digest() != without_list.digest());
    without_list.resend(later);
    with_list.receive(without_list.recent_updates(later), "q", later);
    CHECK_FALSE(with_list.is_leaving("e1"));
    without_list.receive(with_list.recent_updates(later), "p", later);
    CHECK_FALSE(without_list.is_leaving("e1"));
    CHECK(with_list.digest() == without_list.digest());
    // A notice that is newer than the return applies.
    without_list.receive({{"e1", 201}}, "r", later);
    CHECK(without_list.is_leaving("e1"));
}

TEST_CASE("older lists are ignored, and absent endpoints stay leaving")
{
    leaving_set leaving;
    leaving.apply_list({100, {{"e1", true}}}, start);
    leaving.apply_list({99, {{"e1"}}}, start);
    CHECK(leaving.is_leaving("e1"));
    leaving.apply_list({101, {}}, start);
    CHECK(leaving.is_leaving("e1"));
    CHECK(leaving.as_of_us() == 101);
}

TEST_CASE("lists are still applied after the platform's clock was set back")
{
    leaving_set leaving;
    auto const ahead = leaving_set::clock_step_us * 10;
    leaving.apply_list({ahead, {{"e1", true}, {"e2"}}}, start);
    leaving.apply_list({100, {{"e1"}, {"e2", true}}}, start);
    CHECK_FALSE(leaving.is_leaving("e1"));
    CHECK(leaving.is_leaving("e2"));
}

TEST_CASE("an update is sent for gossip_duration, and again after resend")
{
    leaving_set leaving;
    leaving.apply_list({100, {{"e1", true}}}, start);
    CHECK(leaving.recent_updates(start).size() == 1);
    auto const later = start + leaving_set::gossip_duration;
    leaving.apply_list({101, {{"e1", true}}}, later);
    CHECK(leaving.recent_updates(later).empty());
    leaving.resend(later);
    CHECK(leaving.recent_updates(later) ==
          std::vector<leaving_notice>{{"e1", 101}});
}

TEST_CASE("the number of notices is bounded, and the oldest are dropped first")
{
    leaving_set leaving;
    for (std::size_t i = 0; i <= leaving_set::max_notices; ++i)
    {
        auto const as_of = static_cast<std::int64_t>(i);
        leaving.receive({{"e" + std::to_string(i), as_of}}, "peer", start);
    }
    CHECK(leaving.endpoints().size() == leaving_set::max_notices);
    CHECK_FALSE(leaving.is_leaving("e0"));
}

TEST_CASE("sets that received the same notices in any order are equal")
{
    CHECK(rc::check(
        []
        {
            auto const order =
                *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20));
            auto reversed = order;
            std::ranges::reverse(reversed);
            auto const fill = [](std::vector<int> const& from)
            {
                leaving_set made;
                for (auto const i : from)
                    made.receive({{"e" + std::to_string(i), i}}, "p", start);
                return made;
            };
            auto const a = fill(order);
            auto const b = fill(reversed);
            RC_ASSERT(a.digest() == b.digest());
            RC_ASSERT(a.recent_updates(start) == b.recent_updates(start));
        }));
}
