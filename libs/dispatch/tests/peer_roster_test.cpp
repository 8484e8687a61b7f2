#include <dispatch/peer_roster.hpp>

#include <doctest/doctest.h>

#include <algorithm>

using namespace masticshift;
using namespace masticshift::dispatch;

namespace
{

time_point const start = time_point{} + std::chrono::seconds(100);
time_point const settled = start + milliseconds(1'100);

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

entry_heartbeat make_sign(entry_identity sender,
                          std::optional<dispatch_claim> claim = std::nullopt)
{
    entry_heartbeat sign;
    sign.sender = std::move(sender);
    if (claim)
        sign.claims.push_back(*claim);
    return sign;
}

} // namespace

TEST_CASE("the largest live entry claims, after it has listened for a while")
{
    peer_roster large(make_entry("10.0.0.1:1", 500), start);
    peer_roster small(make_entry("10.0.0.2:1", 250), start);
    large.record_heartbeat(make_sign(small.self()), settled);
    small.record_heartbeat(make_sign(large.self()), settled);
    CHECK_FALSE(large.should_claim(cell, "dc", start + milliseconds(100)));
    CHECK(large.should_claim(cell, "dc", settled));
    CHECK_FALSE(small.should_claim(cell, "dc", settled));
    CHECK(small.should_claim(cell, "dc", settled + milliseconds(500)));
}

TEST_CASE("nobody claims beside a live dispatcher")
{
    peer_roster tested(make_entry("10.0.0.1:1", 500), start);
    tested.record_heartbeat(
        make_sign(make_entry("10.0.0.2:1"), make_claim(9, 3)), settled);
    CHECK_FALSE(tested.should_claim(cell, "dc", settled));
    CHECK(tested.dispatcher_of(cell, settled) == "10.0.0.2:1");
    CHECK(tested.should_claim(cell, "dc", settled + milliseconds(500)));
}

TEST_CASE("a follower claims at once when the dispatcher retires")
{
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    auto sign =
        make_sign(make_entry("10.0.0.2:1", 500), make_claim(9, 3, true));
    sign.leaving = true;
    tested.record_heartbeat(sign, settled);
    CHECK(tested.should_claim(cell, "dc", settled));
    CHECK(tested.is_retiring(cell, settled));
}

TEST_CASE("of two dispatchers the one with fewer endpoints gives way")
{
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    tested.set_claims({make_claim(50, 16)});
    auto const rival = make_entry("10.0.0.2:1");
    tested.record_heartbeat(make_sign(rival, make_claim(9, 32)), settled);
    CHECK(tested.should_retire(cell, "dc", settled));
    tested.record_heartbeat(make_sign(rival, make_claim(99, 15)), settled);
    CHECK_FALSE(tested.should_retire(cell, "dc", settled));
}

TEST_CASE("a token is above all that are known, and above a former life's")
{
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    constexpr std::int64_t later_second = 1'800'000'000;
    auto const first = tested.next_token(later_second);
    CHECK(tested.next_token(later_second + 1) > first);
    tested.record_heartbeat(
        make_sign(make_entry("10.0.0.2:1"), make_claim(first + (1LL << 40), 1)),
        settled);
    auto const higher = tested.next_token(later_second);
    CHECK(higher > first + (1LL << 40));
    constexpr std::int64_t exact_in_json = 1LL << 53;
    CHECK(first < exact_in_json);
    peer_roster other(make_entry("10.0.0.3:1"), start);
    CHECK(other.next_token(later_second) != first);
}

TEST_CASE("a new incarnation ends the former one")
{
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    auto const address = "10.0.0.2:1";
    tested.record_heartbeat(make_sign(make_entry(address, 250, 1)), settled);
    CHECK(tested.take_ended_entries(settled).empty());
    tested.record_heartbeat(make_sign(make_entry(address, 250, 2)), settled);
    auto const ended = tested.take_ended_entries(settled);
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].incarnation == 1);
    // A delayed sign of the former life changes nothing.
    tested.record_heartbeat(make_sign(make_entry(address, 250, 1)), settled);
    CHECK(tested.take_ended_entries(settled).empty());
}

TEST_CASE("silence ends a life once")
{
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    tested.record_heartbeat(make_sign(make_entry("10.0.0.2:1")), settled);
    auto const later = settled + milliseconds(460);
    CHECK(tested.take_ended_entries(later).size() == 1);
    CHECK(tested.take_ended_entries(later).empty());
    CHECK_FALSE(tested.is_alive("10.0.0.2:1", later));
}

TEST_CASE("the data centre's own entries dispatch its cells, one each")
{
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    auto far = make_entry("10.0.0.2:1", 500);
    far.data_centre = "far";
    tested.record_heartbeat(make_sign(far), settled);
    CHECK(tested.should_claim(cell, "dc", settled));
    // A second cell goes to an entry that has none.
    auto claim = make_claim(7, 3);
    claim.cell = "dc/1/2";
    tested.set_claims({claim});
    tested.record_heartbeat(make_sign(make_entry("10.0.0.3:1")), settled);
    CHECK_FALSE(tested.should_claim("dc/0/2", "dc", settled));
}

TEST_CASE("an entry that has tried all others does not listen for long")
{
    auto const early = start + milliseconds(250);
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    tested.add_candidate("10.0.0.2:1");
    CHECK_FALSE(tested.should_claim(cell, "dc", early));
    tested.note_directory_read();
    CHECK_FALSE(tested.should_claim(cell, "dc", early));
    tested.note_unanswered("10.0.0.2:1");
    CHECK(tested.should_claim(cell, "dc", early));
}

TEST_CASE("a foreign cell is taken late and given back to its data centre")
{
    auto const foreign = std::string("far/0/1");
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    CHECK_FALSE(tested.should_claim(foreign, "far", settled));
    CHECK(tested.should_probe(foreign, "far", settled));
    tested.note_probe(foreign, true, settled);
    auto const later = settled + milliseconds(1'600);
    CHECK_FALSE(
        tested.should_claim(foreign, "far", settled + milliseconds(1'400)));
    CHECK(tested.should_claim(foreign, "far", later));
    auto claim = make_claim(7, 3);
    claim.cell = foreign;
    tested.set_claims({claim});
    auto local = make_entry("10.0.0.9:1");
    local.data_centre = "far";
    for (auto heard = later; heard < later + milliseconds(900);
         heard += milliseconds(100))
    {
        tested.record_heartbeat(make_sign(local), heard);
        CHECK_FALSE(tested.should_retire(foreign, "far", heard));
    }
    for (auto heard = later + milliseconds(900);
         heard < later + milliseconds(1'100); heard += milliseconds(100))
        tested.record_heartbeat(make_sign(local), heard);
    CHECK(tested.should_retire(foreign, "far", later + milliseconds(1'100)));
}

TEST_CASE("a foreign cell is taken at once from a dispatcher that retires")
{
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    auto far = make_entry("10.0.0.2:1", 500);
    far.data_centre = "far";
    auto claim = make_claim(9, 3, true);
    claim.cell = "far/0/1";
    auto sign = make_sign(far, claim);
    sign.leaving = true;
    tested.record_heartbeat(sign, settled);
    CHECK_FALSE(tested.should_claim("far/0/1", "far", settled));
    tested.note_probe("far/0/1", true, settled);
    CHECK(tested.should_claim("far/0/1", "far", settled));
}

TEST_CASE("a cell that a cut has hidden is left to its dispatcher")
{
    auto const foreign = std::string("far/0/1");
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    CHECK_FALSE(tested.should_claim(foreign, "far", settled));
    // The cut lasts five seconds. Then endpoints answer before their
    // dispatcher is heard.
    tested.note_probe(foreign, false, settled + milliseconds(4'900));
    auto const healed = settled + milliseconds(5'000);
    tested.note_probe(foreign, true, healed);
    CHECK_FALSE(tested.should_claim(foreign, "far", healed));
    CHECK_FALSE(
        tested.should_claim(foreign, "far", healed + milliseconds(800)));
    auto far = make_entry("10.0.0.2:1");
    far.data_centre = "far";
    auto claim = make_claim(9, 3);
    claim.cell = foreign;
    tested.record_heartbeat(make_sign(far, claim), healed + milliseconds(900));
    CHECK_FALSE(
        tested.should_claim(foreign, "far", healed + milliseconds(1'200)));
    CHECK_FALSE(
        tested.should_probe(foreign, "far", healed + milliseconds(1'200)));
}

TEST_CASE("a silent dispatcher is tried more often than other silent entries")
{
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    for (int i = 2; i < 30; ++i)
        tested.add_candidate("10.0.0." + std::to_string(i) + ":1");
    tested.record_heartbeat(
        make_sign(make_entry("10.0.0.9:1"), make_claim(9, 3)), settled);
    auto const cut = settled + milliseconds(600);
    auto const targets = tested.targets(cut);
    CHECK(std::ranges::count(targets, "10.0.0.9:1") >= 1);
}

TEST_CASE("a dispatcher of the own data centre does not give way to a foreign")
{
    peer_roster tested(make_entry("10.0.0.1:1"), start);
    tested.set_claims({make_claim(50, 3)});
    auto rival = make_entry("10.0.0.2:1");
    rival.data_centre = "far";
    tested.record_heartbeat(make_sign(rival, make_claim(99, 16)), settled);
    CHECK_FALSE(tested.should_retire(cell, "dc", settled));
    peer_roster foreign(rival, start);
    foreign.set_claims({make_claim(99, 16)});
    foreign.record_heartbeat(make_sign(tested.self(), make_claim(50, 3)),
                             settled);
    CHECK(foreign.should_retire(cell, "dc", settled));
}
