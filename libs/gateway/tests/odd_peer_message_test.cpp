// Odd messages that claim to come from a peer: each is refused with a number,
// or gives values that can be used.

#include "peer_wire.hpp"

#include <config/daemon_settings.hpp>
#include <peer_link/frame_codec.hpp>
#include <peer_link/message_kind.hpp>

#include <doctest/doctest.h>

#include <limits>
#include <random>
#include <string>
#include <vector>

using namespace masticshift;
using namespace masticshift::gateway;

namespace
{

constexpr unsigned seed = 20261205;
constexpr int rounds = 20'000;
constexpr std::int64_t largest_exact = std::int64_t(1) << 53;

wire::entry_record make_entry()
{
    wire::entry_record entry;
    entry.address = "10.0.0.1:7720";
    entry.incarnation = 1'764'921'600'000'000;
    entry.data_centre = "north";
    entry.processor = 250;
    return entry;
}

wire::dispatch_claim make_claim()
{
    wire::dispatch_claim claim;
    claim.cell = "north/0/1";
    claim.token = 12;
    claim.endpoints = 3;
    claim.free_processor = 100;
    claim.backlog_ms = 10;
    return claim;
}

wire::pulse make_pulse()
{
    wire::pulse pulse;
    pulse.sender = make_entry();
    pulse.claims.push_back(make_claim());
    pulse.configuration_version = 3;
    pulse.highest_token = 12;
    auto known = make_entry();
    known.address = "10.0.0.2:7720";
    pulse.known.push_back(known);
    wire::relayed_claim relayed;
    relayed.holder = make_entry();
    relayed.holder.address = "10.0.0.3:7720";
    relayed.claim = make_claim();
    relayed.age_ms = 5;
    pulse.relayed.push_back(relayed);
    return pulse;
}

std::vector<std::string> const& odd_addresses()
{
    static std::vector<std::string> const addresses{
        "",
        ":",
        "10.0.0.1",
        "10.0.0.1:",
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:99999999999",
        "10.0.0.1:-1",
        "999.1.2.3:80",
        "host:80",
        "10.0.0.1:80\r\nX: y",
        "10.0.0.1:080",
        std::string("10.0.0.1:80\0", 12),
        std::string(1 << 16, '1'),
        "\xff\xfe"};
    return addresses;
}

constexpr std::int64_t extremes[] = {std::numeric_limits<std::int64_t>::min(),
                                     -1, 0, largest_exact + 1,
                                     std::numeric_limits<std::int64_t>::max()};

bool is_valid(dispatch::entry_identity const& entry)
{
    auto const parsed = config::parse_socket_address(entry.address);
    return parsed && parsed->port != 0 &&
           config::to_string(*parsed) == entry.address &&
           entry.incarnation > 0 && entry.incarnation <= largest_exact &&
           entry.processor >= 0;
}

void check_claim(dispatch::dispatch_claim const& claim)
{
    CHECK(claim.token >= 0);
    CHECK(claim.token < largest_exact);
    CHECK(claim.endpoints >= 0);
    CHECK(claim.free_processor >= 0);
    CHECK(claim.backlog >= milliseconds(0));
    CHECK(claim.backlog <= milliseconds(3'600'000));
}

void check_pulse(wire::pulse const& pulse)
{
    auto const decoded = decode_heartbeat(pulse);
    if (!decoded)
    {
        CHECK(decoded.error().code == result_code::peer_protocol);
        CHECK(decoded.error().detail.size() < 1'000);
        return;
    }
    CHECK(is_valid(decoded->sender));
    CHECK(decoded->highest_token >= 0);
    CHECK(decoded->highest_token < largest_exact);
    CHECK(decoded->configuration_version >= 0);
    CHECK(decoded->configuration_version <= largest_exact);
    for (auto const& claim : decoded->claims)
        check_claim(claim);
    for (auto const& entry : decoded->known)
        CHECK(is_valid(entry));
    for (auto const& each : decoded->relayed)
    {
        CHECK(is_valid(each.holder));
        check_claim(each.claim);
    }
}

} // namespace

// Such a sender counted as a live peer, and with a claim as the dispatcher of a
// cell: jobs went to an address that nobody can call.
TEST_CASE("a heartbeat whose sender names no address that can be called is "
          "refused")
{
    CHECK(decode_heartbeat(make_pulse()).has_value());
    for (auto const& address : odd_addresses())
    {
        CAPTURE(address.substr(0, 40));
        auto pulse = make_pulse();
        pulse.sender.address = address;
        auto const decoded = decode_heartbeat(pulse);
        REQUIRE_FALSE(decoded.has_value());
        CHECK(decoded.error().code == result_code::peer_protocol);
        CHECK_FALSE(decode_entry(pulse.sender).has_value());
    }
}

// With the highest incarnation, all later heartbeats of the real entry counted
// as outdated.
TEST_CASE("a heartbeat with an incarnation out of range is refused")
{
    for (auto const extreme : extremes)
    {
        auto pulse = make_pulse();
        pulse.sender.incarnation = extreme;
        CHECK_FALSE(decode_heartbeat(pulse).has_value());
    }
}

TEST_CASE("odd rows about other entries are left out of a heartbeat, the "
          "others hold")
{
    for (auto const& address : odd_addresses())
    {
        auto pulse = make_pulse();
        auto const known = pulse.known[0];
        auto const relayed = pulse.relayed[0];
        pulse.known.insert(pulse.known.begin(), known);
        pulse.known[0].address = address;
        pulse.relayed.insert(pulse.relayed.begin(), relayed);
        pulse.relayed[0].holder.address = address;
        auto const decoded = decode_heartbeat(pulse);
        REQUIRE(decoded.has_value());
        REQUIRE(decoded->known.size() == 1);
        CHECK(decoded->known[0].address == known.address);
        REQUIRE(decoded->relayed.size() == 1);
        CHECK(decoded->relayed[0].holder.address == relayed.holder.address);
    }
}

// The next token of an entry follows the highest known one.
TEST_CASE("a token out of range raises no token")
{
    for (auto const extreme : extremes)
    {
        auto pulse = make_pulse();
        pulse.highest_token = extreme;
        pulse.claims[0].token = extreme;
        pulse.relayed[0].claim.token = extreme;
        auto const decoded = decode_heartbeat(pulse);
        if (!decoded)
            continue;
        CHECK(decoded->highest_token <= 12);
        for (auto const& claim : decoded->claims)
            CHECK(claim.token <= 12);
        for (auto const& each : decoded->relayed)
            CHECK(each.claim.token <= 12);
    }
}

TEST_CASE("any heartbeat with extreme numbers and odd addresses is refused or "
          "has values that can be used")
{
    std::mt19937 random{seed};
    auto const odd = [&](auto& number)
    {
        if (random() % 6 == 0)
            number = static_cast<std::remove_reference_t<decltype(number)>>(
                extremes[random() % std::size(extremes)]);
    };
    auto const odd_entry = [&](wire::entry_record& entry)
    {
        odd(entry.incarnation);
        odd(entry.processor);
        if (random() % 6 == 0)
            entry.address = odd_addresses()[random() % odd_addresses().size()];
    };
    auto const odd_claim = [&](wire::dispatch_claim& claim)
    {
        odd(claim.token);
        odd(claim.endpoints);
        odd(claim.free_processor);
        odd(claim.backlog_ms);
    };
    for (int i = 0; i < rounds; ++i)
    {
        auto pulse = make_pulse();
        odd(pulse.configuration_version);
        odd(pulse.highest_token);
        odd_entry(pulse.sender);
        odd_claim(pulse.claims[0]);
        odd_entry(pulse.known[0]);
        odd_entry(pulse.relayed[0].holder);
        odd_claim(pulse.relayed[0].claim);
        odd(pulse.relayed[0].age_ms);
        check_pulse(pulse);
    }
}

TEST_CASE("a frame of a heartbeat with changed bytes is refused or has values "
          "that can be used")
{
    wire::envelope envelope;
    envelope.correlation = 1;
    envelope.content = peer_link::make_message(make_pulse());
    auto const frame = peer_link::encode_frame(envelope, {}).value();
    std::mt19937 random{seed};
    for (int i = 0; i < rounds; ++i)
    {
        std::vector<std::uint8_t> payload(
            frame.begin() + peer_link::frame_header_bytes, frame.end());
        for (auto left = 1 + random() % 3; left > 0; --left)
            payload[random() % payload.size()] =
                static_cast<std::uint8_t>(random());
        if (random() % 8 == 0)
            payload.resize(random() % payload.size());
        auto const decoded = peer_link::decode_payload(payload, {});
        if (decoded)
            check_pulse(decoded->content.pulse_call);
        else
            CHECK(decoded.error().code == result_code::peer_protocol);
    }
}
