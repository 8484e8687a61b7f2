#include <membership/peer_table.hpp>

#include <doctest/doctest.h>

#include <algorithm>

using namespace masticshift;
using namespace masticshift::membership;

namespace
{

constexpr auto start = time_point{} + std::chrono::hours{1};
constexpr milliseconds dead_after{2'500};
constexpr milliseconds tick{1};

heartbeat beat_of(std::string address, std::int64_t incarnation,
                  std::int64_t sequence, std::string data_centre = "de")
{
    heartbeat beat;
    beat.sender = {std::move(address), incarnation};
    beat.sequence = sequence;
    beat.data_centre = std::move(data_centre);
    return beat;
}

peer_table make_table()
{
    return {{"10.0.0.1:1", 1}, "de", {}};
}

} // namespace

TEST_CASE("a peer is live while it sends heartbeats, and again after a pause")
{
    auto table = make_table();
    table.set_configured({"10.0.0.1:1", "10.0.0.2:1"});
    CHECK(table.all().size() == 1);
    CHECK(table.live(start).empty());
    CHECK(table.receive(beat_of("10.0.0.2:1", 7, 1), start) ==
          heartbeat_result::joined);
    CHECK(table.live(start + dead_after - tick).size() == 1);
    auto const resumed = start + dead_after;
    CHECK(table.live(resumed).empty());
    CHECK(table.isolation(resumed).isolated);
    CHECK(table.receive(beat_of("10.0.0.2:1", 7, 2), resumed) ==
          heartbeat_result::returned);
    CHECK(table.live(resumed).size() == 1);
    CHECK_FALSE(table.isolation(resumed).isolated);
}

TEST_CASE("late heartbeats change nothing")
{
    auto table = make_table();
    auto fresh = beat_of("10.0.0.2:1", 7, 5);
    fresh.revision = 9;
    table.receive(fresh, start);
    CHECK(table.receive(beat_of("10.0.0.2:1", 7, 5), start + tick) ==
          heartbeat_result::stale);
    CHECK(table.receive(beat_of("10.0.0.2:1", 7, 4), start + tick) ==
          heartbeat_result::stale);
    CHECK(table.find("10.0.0.2:1")->revision == 9);
    CHECK(table.find("10.0.0.2:1")->last_heartbeat == start);
}

TEST_CASE("a restarted peer replaces its earlier incarnation for good")
{
    auto table = make_table();
    table.receive(beat_of("10.0.0.2:1", 7, 100), start);
    // Incarnations may decrease: a clock that was set back gives a lower one.
    CHECK(table.receive(beat_of("10.0.0.2:1", 3, 1), start + tick) ==
          heartbeat_result::restarted);
    CHECK(table.receive(beat_of("10.0.0.2:1", 7, 101), start + tick) ==
          heartbeat_result::stale);
    CHECK(table.find("10.0.0.2:1")->incarnation == 3);
}

TEST_CASE("loads are kept across heartbeats, not across incarnations")
{
    auto table = make_table();
    auto beat = beat_of("10.0.0.2:1", 7, 1);
    beat.loads = {{"a", 1}, {"b", 2}};
    table.receive(beat, start);
    beat.sequence = 2;
    beat.loads = {{"b", 3}};
    table.receive(beat, start);
    CHECK(table.find("10.0.0.2:1")->loads ==
          std::vector<service_load>{{"a", 1}, {"b", 3}});
    beat.sender.incarnation = 8;
    table.receive(beat, start);
    CHECK(table.find("10.0.0.2:1")->loads ==
          std::vector<service_load>{{"b", 3}});
}

TEST_CASE("heartbeats from the own address or beyond max_peers are refused")
{
    peer_table_settings settings;
    settings.max_peers = 1;
    peer_table table({"10.0.0.1:1", 1}, "de", settings);
    CHECK(table.receive(beat_of("10.0.0.1:1", 2, 1), start) ==
          heartbeat_result::refused);
    CHECK(table.receive(beat_of("10.0.0.2:1", 2, 1), start) ==
          heartbeat_result::joined);
    CHECK(table.receive(beat_of("10.0.0.3:1", 2, 1), start) ==
          heartbeat_result::refused);
}

TEST_CASE(
    "only dead peers that neither settings nor VM list name are forgotten")
{
    auto table = make_table();
    table.set_configured({"10.0.0.2:1"});
    table.set_listed({{"10.0.0.3:1", "de", true}, {"10.0.0.4:1", "canol"}});
    CHECK(table.find("10.0.0.3:1")->leaving);
    CHECK(table.find("10.0.0.4:1")->data_centre == "canol");
    table.receive(beat_of("10.0.0.3:1", 1, 1), start);
    table.receive(beat_of("10.0.0.5:1", 1, 1), start);
    table.set_listed({{"10.0.0.4:1", "canol"}});
    CHECK(table.expire(start + dead_after).empty());
    auto const late = start + dead_after + milliseconds{60'000};
    CHECK(table.expire(late) ==
          std::vector<std::string>{"10.0.0.3:1", "10.0.0.5:1"});
    CHECK(table.known("10.0.0.2:1"));
    CHECK(table.known("10.0.0.4:1"));
}

TEST_CASE("a failed call makes only peers of other data centres count as dead")
{
    auto table = make_table();
    table.receive(beat_of("10.0.0.2:1", 1, 1), start);
    table.receive(beat_of("10.1.0.2:1", 1, 1, "canol"), start);
    CHECK(table.live_in("canol", start + dead_after).size() == 1);
    table.record_failed_call("10.0.0.2:1", start + tick);
    table.record_failed_call("10.1.0.2:1", start + tick);
    CHECK(table.live_in("de", start + tick).size() == 1);
    CHECK(table.live_in("canol", start + tick).empty());
    CHECK(table.isolation(start + tick).unreachable_data_centres ==
          std::vector<std::string>{"canol"});
    table.receive(beat_of("10.1.0.2:1", 1, 2, "canol"), start + 2 * tick);
    CHECK(table.isolation(start + 2 * tick).unreachable_data_centres.empty());
}

TEST_CASE("in a small cluster all peers are called directly")
{
    auto table = make_table();
    table.set_listed({{"10.0.0.2:1", "de"},
                      {"10.1.0.1:1", "canol"},
                      {"10.2.0.1:1", "gogledd"}});
    table.set_configured({"10.3.0.1:1"});
    CHECK(table.heartbeat_targets(1, start).size() == 4);
}

TEST_CASE("one peer of each pair calls, the other only without heartbeats")
{
    constexpr milliseconds late{1'000};
    int calls = 0;
    for (int i = 2; i < 10; ++i)
    {
        auto const address = "10.0.0." + std::to_string(i) + ":1";
        auto table = make_table();
        peer_table other({address, 1}, "de", {});
        table.receive(beat_of(address, 1, 1), start);
        other.receive(beat_of("10.0.0.1:1", 1, 1), start);
        auto const soon = start + late - tick;
        auto const own = table.heartbeat_targets(1, soon).size();
        CHECK(own + other.heartbeat_targets(1, soon).size() == 1);
        CHECK(table.heartbeat_targets(1, start + late).size() == 1);
        CHECK(other.heartbeat_targets(1, start + late).size() == 1);
        calls += static_cast<int>(own);
    }
    CHECK(calls > 0);
    CHECK(calls < 8);
}
