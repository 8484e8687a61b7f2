#include <dispatch/origin_watch.hpp>
#include <dispatch/peer_roster.hpp>
#include <dispatch/resubmission_bounds.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>

using namespace masticshift;
using namespace masticshift::dispatch;

namespace
{

constexpr time_point start{std::chrono::seconds(1'000)};
constexpr milliseconds interval{100};

entry_identity make_entry(std::string address, std::int64_t incarnation = 1)
{
    return {std::move(address), incarnation, "dc", 1'000};
}

/// A dispatcher and an entry whose heartbeats reach it after a delay.
class delayed_heartbeats
{
public:
    entry_heartbeat from_entry(time_point now)
    {
        return entry_.heartbeat_to(dispatcher_.self().address, now);
    }

    void deliver(entry_heartbeat const& heartbeat, time_point now)
    {
        dispatcher_.record_heartbeat(heartbeat, now);
    }

    void answer(time_point now)
    {
        auto const heartbeat = entry_.heartbeat_to("d:1", now);
        entry_.record_heartbeat(dispatcher_.response_to(heartbeat, now), now);
    }

    bool wants_job(time_point sent_after, time_point now) const
    {
        return dispatcher_.wants_job(entry_.self(), sent_after, now);
    }

    peer_roster& entry()
    {
        return entry_;
    }

private:
    peer_roster dispatcher_{make_entry("d:1"), start};
    peer_roster entry_{make_entry("e:1"), start};
};

} // namespace

// Heartbeats counted from their arrival: those on a slow link kept the runs of
// an entry that had gone until its callers had submitted the jobs again.
TEST_CASE("heartbeats that were on their way for long do not keep a job")
{
    delayed_heartbeats tested;
    tested.answer(start);
    auto const held_up = tested.from_entry(start + interval);
    for (auto now = start + interval; now <= start + longest_staleness;
         now += milliseconds(10))
    {
        tested.deliver(held_up, now);
        CHECK(tested.wants_job(start, now));
    }
    auto const later = start + longest_staleness + milliseconds(1);
    tested.deliver(held_up, later);
    CHECK_FALSE(tested.wants_job(start, later));
}

TEST_CASE("a job is kept by heartbeats with new readings")
{
    delayed_heartbeats tested;
    for (auto now = start; now < start + milliseconds(5'000); now += interval)
    {
        tested.answer(now);
        tested.deliver(tested.from_entry(now + interval), now + interval);
        CHECK(tested.wants_job(start, now + interval));
    }
}

TEST_CASE("a job whose entry has not said that it is wanted for some time is "
          "not wanted again later")
{
    origin_watch tested;
    auto const origin = make_entry("e:1");
    tested.record(origin, start, start);
    auto const back = start + milliseconds(2'000);
    tested.record(origin, back, back);
    CHECK_FALSE(tested.wants_job(origin, start, back));
    CHECK(tested.wants_job(origin, back, back));
}

TEST_CASE("a job is not wanted by the next incarnation of its entry")
{
    origin_watch tested;
    tested.record(make_entry("e:1", 2), start + milliseconds(1'000),
                  start + milliseconds(1'000));
    auto const now = start + milliseconds(1'000);
    CHECK_FALSE(tested.wants_job(make_entry("e:1", 1), start, now));
    tested.record(make_entry("e:1", 1), now, now);
    CHECK_FALSE(tested.is_current(make_entry("e:1", 1), now));
    CHECK(tested.is_current(make_entry("e:1", 2), now));
}

TEST_CASE("a response to a heartbeat and a reading of another incarnation do "
          "not keep a job")
{
    peer_roster dispatcher(make_entry("d:1", 2), start);
    auto const entry = make_entry("e:1");
    entry_heartbeat heartbeat;
    heartbeat.sender = entry;
    auto const now = start + milliseconds(1'000);
    for (auto const incarnation : {0, 1, 3})
    {
        heartbeat.last_reading = clock_reading{incarnation, reading_at(now)};
        dispatcher.record_heartbeat(heartbeat, now);
        CHECK_FALSE(dispatcher.origins().is_current(entry, now));
    }
    heartbeat.last_reading = clock_reading{2, milliseconds::max()};
    dispatcher.record_heartbeat(heartbeat, now);
    CHECK_FALSE(dispatcher.origins().is_current(entry, now));
    heartbeat.last_reading = clock_reading{2, reading_at(now)};
    dispatcher.record_heartbeat(heartbeat, now);
    CHECK(dispatcher.origins().is_current(entry, now));
}

TEST_CASE("heartbeats carry withdrawals until they are acknowledged, and the "
          "dispatcher stays a target as long")
{
    peer_roster entry(make_entry("e:1"), start);
    auto const after_discovery = start + milliseconds(2'000);
    auto const now = after_discovery + interval;
    entry.withdrawals().add("d:1", {"job", "cell", 7}, after_discovery);
    auto const targets = entry.targets(now);
    CHECK(std::ranges::find(targets, "d:1") != targets.end());
    for (int i = 0; i < 3; ++i)
    {
        auto const heartbeat = entry.heartbeat_to("d:1", now);
        REQUIRE(heartbeat.withdrawals.size() == 1);
        CHECK(heartbeat.withdrawals[0].job == "job");
        CHECK(heartbeat.withdrawals[0].submission == 7);
    }
    CHECK(entry.heartbeat_to("other:1", now).withdrawals.empty());
    entry.withdrawals().add("d:1", {"job", "cell", 8}, now);
    CHECK(entry.withdrawals().acknowledge("d:1", {{"job", "cell", 7}}, now) ==
          interval);
    CHECK_FALSE(entry.withdrawals().contains("d:1", {"job", "cell", 7}));
    CHECK(entry.withdrawals().contains("d:1", {"job", "cell", 8}));
    auto const left = entry.heartbeat_to("d:1", now).withdrawals;
    REQUIRE(left.size() == 1);
    CHECK(left[0].submission == 8);
    entry.withdrawals().acknowledge("d:1", left, now);
    CHECK(entry.heartbeat_to("d:1", now).withdrawals.empty());
}

// A heartbeat without some of the withdrawals would say that these jobs are
// wanted.
TEST_CASE("a heartbeat that can't carry all withdrawals keeps no job")
{
    peer_roster entry(make_entry("e:1"), start);
    entry.record_clock("d:1", {1, milliseconds(5)});
    CHECK(entry.heartbeat_to("d:1", start).last_reading->incarnation == 1);
    for (std::size_t i = 0; i <= withdrawal_list::most_in_heartbeat; ++i)
        entry.withdrawals().add("d:1", {std::to_string(i), "cell", 1}, start);
    auto const heartbeat = entry.heartbeat_to("d:1", start);
    CHECK(heartbeat.withdrawals.size() == withdrawal_list::most_in_heartbeat);
    CHECK(heartbeat.last_reading->incarnation == 0);
    entry.withdrawals().acknowledge("d:1", heartbeat.withdrawals, start);
    CHECK(entry.heartbeat_to("d:1", start).last_reading->incarnation == 1);
}

TEST_CASE("withdrawals that were never acknowledged end after some seconds")
{
    withdrawal_list tested;
    tested.add("d:1", {"job", "cell", 1}, start);
    CHECK(tested.take_expired(start + milliseconds(4'000)).empty());
    auto const expired = tested.take_expired(start + milliseconds(5'000));
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].dispatcher == "d:1");
    CHECK(tested.open("d:1").empty());
    CHECK(tested.dispatchers().empty());
}
