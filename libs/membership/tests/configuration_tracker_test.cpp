#include <membership/configuration_tracker.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace masticshift;
using namespace masticshift::membership;

namespace
{

constexpr auto start = time_point{} + std::chrono::hours{1};
configuration_source const platform{};
configuration_source const peer_a{"10.0.0.1:1"};
configuration_source const peer_b{"10.0.0.2:1"};

} // namespace

TEST_CASE("the revision in force never decreases")
{
    CHECK(rc::check(
        []
        {
            configuration_tracker tracker;
            auto now = start;
            std::uint64_t last = 0;
            auto const steps = *rc::gen::inRange(0, 60);
            for (int i = 0; i < steps; ++i)
            {
                now += milliseconds{*rc::gen::inRange(0, 3'000)};
                auto const revision = *rc::gen::inRange<std::uint64_t>(0, 9);
                auto const source = configuration_source{
                    *rc::gen::element<std::string>("", "a", "b")};
                switch (*rc::gen::inRange(0, 5))
                {
                case 0:
                    tracker.record_announced(source, revision, now);
                    break;
                case 1:
                    RC_ASSERT(tracker.put_in_force(revision) ==
                              (revision > last));
                    break;
                case 2:
                    if (auto const fetch = tracker.start_fetch(now))
                        RC_ASSERT(fetch->revision > tracker.in_force());
                    break;
                case 3:
                    tracker.fetch_failed(source, now);
                    break;
                default:
                    tracker.reject(revision);
                }
                RC_ASSERT(tracker.in_force() >= last);
                last = tracker.in_force();
                RC_ASSERT(tracker.ready() == (last > 0));
                RC_ASSERT(tracker.highest_seen() >= last);
            }
        }));
}

TEST_CASE("the highest revision is fetched, from peers before the platform")
{
    configuration_tracker tracker;
    CHECK_FALSE(tracker.start_fetch(start).has_value());
    tracker.record_announced(platform, 5, start);
    tracker.record_announced(peer_a, 4, start);
    CHECK(tracker.start_fetch(start)->source == platform);
    CHECK_FALSE(tracker.start_fetch(start).has_value());
    tracker.fetch_failed(platform, start);
    tracker.record_announced(peer_b, 5, start);
    CHECK(tracker.start_fetch(start)->source == peer_b);
    CHECK(tracker.put_in_force(5));
    CHECK_FALSE(tracker.start_fetch(start).has_value());
}

TEST_CASE("a source that announces a revision it can't deliver blocks no other")
{
    configuration_tracker tracker;
    tracker.record_announced(peer_a, 1'000'000, start);
    tracker.record_announced(peer_b, 3, start);
    CHECK(tracker.start_fetch(start)->source == peer_a);
    tracker.fetch_failed(peer_a, start);
    CHECK(tracker.start_fetch(start)->source == peer_b);
    // A fetch that does not end counts as failed after `fetch_limit`.
    auto const later = start + configuration_tracker::fetch_limit;
    tracker.record_announced(peer_a, 0, later);
    CHECK_FALSE(tracker.start_fetch(later).has_value());
    CHECK(tracker.start_fetch(later + configuration_tracker::first_pause)
              ->source == peer_b);
}

TEST_CASE("a rejected revision is not fetched again, a higher one is")
{
    configuration_tracker tracker;
    tracker.record_announced(platform, 7, start);
    tracker.start_fetch(start);
    tracker.reject(7);
    CHECK_FALSE(tracker.start_fetch(start).has_value());
    tracker.reject(5);
    CHECK_FALSE(tracker.start_fetch(start).has_value());
    tracker.record_announced(peer_a, 6, start);
    CHECK(tracker.start_fetch(start)->source == peer_a);
    tracker.put_in_force(6);
    tracker.record_announced(platform, 8, start);
    CHECK(tracker.start_fetch(start)->revision == 8);
}
