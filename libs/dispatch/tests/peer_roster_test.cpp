#include <dispatch/peer_roster.hpp>
#include <dispatch/token.hpp>

#include <doctest/doctest.h>

#include <algorithm>

using namespace masticshift;
using namespace masticshift::dispatch;

namespace
{

time_point const start = time_point{} + std::chrono::seconds(100);
time_point const after_discovery = start + milliseconds(1'100);

entry_identity make_entry(std::string address, int processor = 250,
                          std::int64_t incarnation = 1)
{
    return {std::move(address), incarnation, "dc", processor};
}

std::string const cell = "dc/0/1";

dispatch_claim make_claim(std::int64_t token, std::int64_t endpoints,
                          bool retiring = false)
{
    dispatch_claim claim;
    claim.cell = cell;
    claim.token = token;
    claim.endpoints = endpoints;
    claim.retiring = retiring;
    return claim;
}

entry_heartbeat
make_heartbeat(entry_identity sender,
               std::optional<dispatch_claim> claim = std::nullopt)
{
    entry_heartbeat heartbeat;
    heartbeat.sender = std::move(sender);
    heartbeat.is_periodic = true;
    if (claim)
        heartbeat.claims.push_back(*claim);
    return heartbeat;
}

} // namespace

TEST_CASE(
    "the largest live entry claims a cell, but only after the discovery time")
{
    peer_roster large(make_entry("10.0.0.1:1", 500), start);
    peer_roster small(make_entry("10.0.0.2:1", 250), start);
    large.record_heartbeat(make_heartbeat(small.self()), after_discovery);
    small.record_heartbeat(make_heartbeat(large.self()), after_discovery);
    CHECK_FALSE(large.should_claim(cell, "dc", start + milliseconds(100)));
    CHECK(large.should_claim(cell, "dc", after_discovery));
    CHECK_FALSE(small.should_claim(cell, "dc", after_discovery));
    CHECK(small.should_claim(cell, "dc", after_discovery + milliseconds(500)));
}

TEST_CASE("no entry claims a cell that has a live dispatcher")
{
    peer_roster tested(make_entry("10.0.0.1:1", 500), start);
    tested.record_heartbeat(
        make_heartbeat(make_entry("10.0.0.2:1"), make_claim(9, 3)),
        after_discovery);
    CHECK_FALSE(tested.should_claim(cell, "dc", after_discovery));
    CHECK(tested.dispatcher_of(cell, after_discovery) == "10.0.0.2:1");
    CHECK(tested.should_claim(cell, "dc", after_discovery + milliseconds(500)));
}

TEST_CASE("a successor claims the cell at once when the dispatcher retires")
{
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    auto heartbeat =
        make_heartbeat(make_entry("10.0.0.2:1", 500), make_claim(9, 3, true));
    heartbeat.leaving = true;
    tested.record_heartbeat(heartbeat, after_discovery);
    CHECK(tested.should_claim(cell, "dc", after_discovery));
    CHECK(tested.is_retiring(cell, after_discovery));
}

TEST_CASE("of two conflicting dispatchers the one with fewer endpoints retires")
{
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    tested.set_claims({make_claim(50, 16)});
    auto const other = make_entry("10.0.0.2:1");
    tested.record_heartbeat(make_heartbeat(other, make_claim(9, 32)),
                            after_discovery);
    CHECK(tested.should_retire(cell, "dc", after_discovery));
    tested.record_heartbeat(make_heartbeat(other, make_claim(99, 15)),
                            after_discovery);
    CHECK_FALSE(tested.should_retire(cell, "dc", after_discovery));
}

TEST_CASE("a token is above all known ones and those of earlier incarnations")
{
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    constexpr std::int64_t later_second = 1'800'000'000;
    auto const first = tested.next_token(later_second);
    CHECK(tested.next_token(later_second + 1) > first);
    tested.record_heartbeat(make_heartbeat(make_entry("10.0.0.2:1"),
                                           make_claim(first + (1LL << 40), 1)),
                            after_discovery);
    auto const higher = tested.next_token(later_second);
    CHECK(higher > first + (1LL << 40));
    constexpr std::int64_t exact_in_json = 1LL << 53;
    CHECK(first < exact_in_json);
    peer_roster other(make_entry("10.0.0.3:1"), start);
    CHECK(other.next_token(later_second) != first);
}

// A held-up list of a dead dispatcher outranked its successor, which had not
// heard of the last tokens, and extended leases that had been taken for ended.
TEST_CASE("the next claim of a cell is above all raised tokens of the former "
          "one, heard of or not")
{
    constexpr std::int64_t second = 1'800'000'000;
    peer_roster former(make_entry("10.0.0.1:1"), start);
    auto const claimed = former.next_token(second);
    peer_roster next(make_entry("10.0.0.2:1"), start);
    next.record_heartbeat(
        make_heartbeat(make_entry("10.0.0.1:1"), make_claim(claimed, 1)),
        after_discovery);
    auto raised = claimed;
    for (int i = 0; i < 100; ++i)
    {
        CHECK(raised_token(raised) > raised);
        raised = raised_token(raised);
    }
    CHECK(next.next_token(second) > raised);
}

TEST_CASE("a new incarnation ends the former one")
{
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    auto const address = "10.0.0.2:1";
    tested.record_heartbeat(make_heartbeat(make_entry(address, 250, 1)),
                            after_discovery);
    CHECK(tested.take_ended_entries(after_discovery).empty());
    tested.record_heartbeat(make_heartbeat(make_entry(address, 250, 2)),
                            after_discovery);
    auto const ended = tested.take_ended_entries(after_discovery);
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].incarnation == 1);
    // A delayed heartbeat of the former incarnation changes nothing.
    tested.record_heartbeat(make_heartbeat(make_entry(address, 250, 1)),
                            after_discovery);
    CHECK(tested.take_ended_entries(after_discovery).empty());
}

TEST_CASE("a peer without heartbeats is reported as ended once")
{
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    tested.record_heartbeat(make_heartbeat(make_entry("10.0.0.2:1")),
                            after_discovery);
    auto const later = after_discovery + milliseconds(460);
    CHECK(tested.take_ended_entries(later).size() == 1);
    CHECK(tested.take_ended_entries(later).empty());
    CHECK_FALSE(tested.is_alive("10.0.0.2:1", later));
}

TEST_CASE("the data centre's own entries dispatch its cells, one each")
{
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    auto far = make_entry("10.0.0.2:1", 500);
    far.data_centre = "far";
    tested.record_heartbeat(make_heartbeat(far), after_discovery);
    CHECK(tested.should_claim(cell, "dc", after_discovery));
    // A second cell goes to an entry that has none.
    auto claim = make_claim(7, 3);
    claim.cell = "dc/1/2";
    tested.set_claims({claim});
    tested.record_heartbeat(make_heartbeat(make_entry("10.0.0.3:1")),
                            after_discovery);
    CHECK_FALSE(tested.should_claim("dc/0/2", "dc", after_discovery));
}

TEST_CASE("discovery is short for an entry that has tried all candidates")
{
    auto const early = start + milliseconds(250);
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    tested.add_candidate("10.0.0.2:1");
    CHECK_FALSE(tested.should_claim(cell, "dc", early));
    tested.record_directory_read();
    CHECK_FALSE(tested.should_claim(cell, "dc", early));
    tested.record_unanswered("10.0.0.2:1");
    CHECK(tested.should_claim(cell, "dc", early));
}

TEST_CASE("a foreign cell is claimed with a delay and handed back")
{
    auto const foreign = std::string("far/0/1");
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    CHECK_FALSE(tested.should_claim(foreign, "far", after_discovery));
    CHECK(tested.should_probe(foreign, "far", after_discovery));
    tested.record_probe(foreign, true, after_discovery);
    auto const later = after_discovery + milliseconds(1'600);
    CHECK_FALSE(tested.should_claim(foreign, "far",
                                    after_discovery + milliseconds(1'400)));
    CHECK(tested.should_claim(foreign, "far", later));
    auto claim = make_claim(7, 3);
    claim.cell = foreign;
    tested.set_claims({claim});
    auto local = make_entry("10.0.0.9:1");
    local.data_centre = "far";
    for (auto at = later; at < later + milliseconds(900);
         at += milliseconds(100))
    {
        tested.record_heartbeat(make_heartbeat(local), at);
        CHECK_FALSE(tested.should_retire(foreign, "far", at));
    }
    for (auto at = later + milliseconds(900); at < later + milliseconds(1'100);
         at += milliseconds(100))
        tested.record_heartbeat(make_heartbeat(local), at);
    CHECK(tested.should_retire(foreign, "far", later + milliseconds(1'100)));
}

TEST_CASE("a foreign cell is claimed at once from a retiring dispatcher")
{
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    auto far = make_entry("10.0.0.2:1", 500);
    far.data_centre = "far";
    auto claim = make_claim(9, 3, true);
    claim.cell = "far/0/1";
    auto heartbeat = make_heartbeat(far, claim);
    heartbeat.leaving = true;
    tested.record_heartbeat(heartbeat, after_discovery);
    CHECK_FALSE(tested.should_claim("far/0/1", "far", after_discovery));
    tested.record_probe("far/0/1", true, after_discovery);
    CHECK(tested.should_claim("far/0/1", "far", after_discovery));
}

TEST_CASE("a cell is not claimed when a partition from its dispatcher ends")
{
    auto const foreign = std::string("far/0/1");
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    CHECK_FALSE(tested.should_claim(foreign, "far", after_discovery));
    // The partition lasts five seconds. Then endpoints respond before the
    // heartbeat of their dispatcher is received.
    tested.record_probe(foreign, false, after_discovery + milliseconds(4'900));
    auto const partition_end = after_discovery + milliseconds(5'000);
    tested.record_probe(foreign, true, partition_end);
    CHECK_FALSE(tested.should_claim(foreign, "far", partition_end));
    CHECK_FALSE(
        tested.should_claim(foreign, "far", partition_end + milliseconds(800)));
    auto far = make_entry("10.0.0.2:1");
    far.data_centre = "far";
    auto claim = make_claim(9, 3);
    claim.cell = foreign;
    tested.record_heartbeat(make_heartbeat(far, claim),
                            partition_end + milliseconds(900));
    CHECK_FALSE(tested.should_claim(foreign, "far",
                                    partition_end + milliseconds(1'200)));
    CHECK_FALSE(tested.should_probe(foreign, "far",
                                    partition_end + milliseconds(1'200)));
}

TEST_CASE("dispatchers are tried more often than other unresponsive entries")
{
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    for (int i = 2; i < 30; ++i)
        tested.add_candidate("10.0.0." + std::to_string(i) + ":1");
    tested.record_heartbeat(
        make_heartbeat(make_entry("10.0.0.9:1"), make_claim(9, 3)),
        after_discovery);
    auto const after_partition = after_discovery + milliseconds(600);
    auto const targets = tested.targets(after_partition);
    CHECK(std::ranges::count(targets, "10.0.0.9:1") >= 1);
}

TEST_CASE("a local dispatcher of a cell does not yield to a foreign one")
{
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    tested.set_claims({make_claim(50, 3)});
    auto other = make_entry("10.0.0.2:1");
    other.data_centre = "far";
    tested.record_heartbeat(make_heartbeat(other, make_claim(99, 16)),
                            after_discovery);
    CHECK_FALSE(tested.should_retire(cell, "dc", after_discovery));
    peer_roster foreign(other, start);
    foreign.set_claims({make_claim(99, 16)});
    foreign.record_heartbeat(make_heartbeat(tested.self(), make_claim(50, 3)),
                             after_discovery);
    CHECK(foreign.should_retire(cell, "dc", after_discovery));
}

// A link that refused connections one way made its peer count as dead, and the
// cell was claimed while it was dispatched.
TEST_CASE("a peer whose heartbeats arrive is alive although its connections "
          "are refused")
{
    auto const peer = make_entry("10.0.0.2:1", 500);
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    auto now = after_discovery;
    for (int i = 0; i < 20; ++i)
    {
        tested.record_heartbeat(make_heartbeat(peer, make_claim(5, 10)), now);
        tested.record_connection_refused(peer.address);
        now += milliseconds(100);
        CHECK(tested.is_alive(peer, now));
        CHECK_FALSE(tested.should_claim(cell, "dc", now));
    }
    tested.record_connection_refused(peer.address);
    CHECK_FALSE(tested.is_alive(peer, now + milliseconds(100)));
}

// The first heartbeat after a pause made an entry alive whose jobs had been
// submitted elsewhere meanwhile.
TEST_CASE("a peer that was silent has not been alive since before")
{
    auto const peer = make_entry("10.0.0.2:1");
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    tested.record_heartbeat(make_heartbeat(peer), start);
    auto const submitted = start + milliseconds(50);
    CHECK(tested.wants_job(peer, submitted, submitted));
    auto const back = start + milliseconds(3'000);
    tested.record_heartbeat(make_heartbeat(peer), back);
    CHECK(tested.is_alive(peer, back));
    CHECK_FALSE(tested.wants_job(peer, submitted, back));
    CHECK(tested.wants_job(peer, back, back));
}

TEST_CASE("a claim keeps its age while only jobs arrive from its dispatcher")
{
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    auto const now = after_discovery;
    auto const sender = make_entry("10.0.0.2:1");
    tested.record_heartbeat(make_heartbeat(sender, make_claim(9, 3)), now);
    auto const later = now + milliseconds(200);
    tested.record_job_from(sender, later, later);
    auto const known = tested.dispatchers(later);
    REQUIRE(known.size() == 1);
    CHECK(known.front().age == milliseconds(200));
    CHECK_FALSE(known.front().contested);
}

TEST_CASE(
    "a claim that was passed on has the age since its dispatcher sent it, "
    "and a second dispatcher of the cell makes it contested")
{
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    auto const now = after_discovery;
    auto passed_on = make_heartbeat(make_entry("10.0.0.2:1"), make_claim(9, 3));
    passed_on.relayed.push_back(
        {make_entry("10.0.0.3:1"), make_claim(10, 3), milliseconds(120)});
    tested.record_heartbeat(passed_on, now);
    auto const known = tested.dispatchers(now + milliseconds(30));
    REQUIRE(known.size() == 1);
    CHECK(known.front().address == "10.0.0.3:1");
    CHECK(known.front().age == milliseconds(150));
    CHECK(known.front().contested);
}
