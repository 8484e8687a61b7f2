#include <peer_link/heartbeat_conversion.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace masticshift;
using namespace masticshift::peer_link;

namespace
{

membership::heartbeat valid_heartbeat()
{
    membership::heartbeat beat;
    beat.sender = {"10.0.0.1:7000", -3};
    beat.data_centre = "de";
    beat.generation = 4;
    beat.revision = 7;
    beat.draining = true;
    beat.sequence = 9;
    beat.news_digest = ~std::uint64_t{0};
    beat.loads = {{"bookings", 3, 5}, {"quotes", 0, 0}};
    beat.leaving_endpoints = {{"10.0.1.1:9000", 55},
                              {"10.0.1.2:9000", 56, true}};
    beat.successions = {
        {{"10.0.0.2:7000", 1}, {"10.0.0.3:7000", 2}, 3, milliseconds{4'000}}};
    return beat;
}

template <class Change>
bool is_refused(Change change)
{
    auto beat = to_wire(valid_heartbeat());
    change(beat);
    auto const converted = from_wire(beat);
    return !converted.has_value() &&
           converted.error().code == result_code::peer_protocol;
}

} // namespace

TEST_CASE("a heartbeat and its response convert to the wire and back unchanged")
{
    auto const beat = valid_heartbeat();
    auto const converted = from_wire(to_wire(beat));
    REQUIRE(converted.has_value());
    CHECK(*converted == beat);
    auto const answer = from_wire(to_wire_reply(beat));
    REQUIRE(answer.has_value());
    CHECK(*answer == beat);
}

TEST_CASE("a heartbeat with a malformed part is refused")
{
    CHECK(is_refused(
        [](auto& beat)
        {
            beat.address = "10.0.0.1";
        }));
    CHECK(is_refused(
        [](auto& beat)
        {
            beat.data_centre.clear();
        }));
    CHECK(is_refused(
        [](auto& beat)
        {
            beat.revision = -1;
        }));
    CHECK(is_refused(
        [](auto& beat)
        {
            beat.sequence = 0;
        }));
    CHECK(is_refused(
        [](auto& beat)
        {
            beat.leaving_endpoints[0].endpoint = "x:1";
        }));
    CHECK(is_refused(
        [](auto& beat)
        {
            beat.successions[0].address = ":1";
        }));
    CHECK(is_refused(
        [](auto& beat)
        {
            beat.successions[0].age_ms = -1;
        }));
    CHECK(is_refused(
        [](auto& beat)
        {
            beat.successions[0].handovers = 0;
        }));
}
