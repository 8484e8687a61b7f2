#include <peer_link/frame_codec.hpp>

#include <peer_link/message_kind.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstring>
#include <vector>

using namespace masticshift;
using namespace masticshift::peer_link;

namespace
{

std::span<std::uint8_t const> bytes_of(std::string const& text)
{
    return {reinterpret_cast<std::uint8_t const*>(text.data()), text.size()};
}

std::span<std::uint8_t const> payload_of(std::string const& frame)
{
    return bytes_of(frame).subspan(frame_header_bytes);
}

wire::heartbeat arbitrary_heartbeat()
{
    wire::heartbeat result;
    result.address = *rc::gen::arbitrary<std::string>();
    result.incarnation = *rc::gen::arbitrary<std::int64_t>();
    result.revision = *rc::gen::arbitrary<std::int64_t>();
    result.draining = *rc::gen::arbitrary<bool>();
    result.loads.resize(*rc::gen::inRange(0, 20));
    for (auto& load : result.loads)
        load.idle_slots = *rc::gen::arbitrary<std::int32_t>();
    result.leaving_endpoints.resize(*rc::gen::inRange(0, 20));
    for (auto& notice : result.leaving_endpoints)
        notice.endpoint = *rc::gen::arbitrary<std::string>();
    return result;
}

wire::handover arbitrary_handover()
{
    wire::handover result;
    result.records.resize(*rc::gen::inRange(0, 5));
    for (auto& record : result.records)
        record.answer = *rc::gen::arbitrary<std::string>();
    return result;
}

wire::envelope arbitrary_envelope()
{
    wire::envelope result;
    result.correlation = *rc::gen::arbitrary<std::int64_t>();
    result.content = *rc::gen::arbitrary<bool>()
                         ? make_message(arbitrary_heartbeat())
                         : make_message(arbitrary_handover());
    return result;
}

void check_total(std::span<std::uint8_t const> payload)
{
    auto const decoded = decode_payload(payload);
    if (!decoded)
        RC_ASSERT(decoded.error().code == result_code::peer_protocol);
    else
        RC_ASSERT(kind_of(decoded->content).has_value());
}

} // namespace

TEST_CASE("an encoded envelope decodes to the same envelope")
{
    CHECK(rc::check(
        []
        {
            auto const envelope = arbitrary_envelope();
            auto const frame = encode_frame(envelope);
            RC_ASSERT(frame.has_value());
            frame_header header{};
            std::memcpy(header.data(), frame->data(), header.size());
            auto const length = decode_frame_header(header);
            RC_ASSERT(*length == frame->size() - frame_header_bytes);
            auto const decoded = decode_payload(payload_of(*frame));
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(*decoded == envelope);
        }));
}

TEST_CASE("random bytes decode to a value or to peer_protocol")
{
    CHECK(rc::check(
        []
        {
            auto const bytes = *rc::gen::arbitrary<std::string>();
            check_total(bytes_of(bytes));
        }));
}

TEST_CASE("damaged frames decode to a value or to peer_protocol")
{
    CHECK(rc::check(
        []
        {
            auto payload = encode_frame(arbitrary_envelope())->substr(4);
            auto const flips = *rc::gen::inRange(0, 8);
            for (int i = 0; i < flips; ++i)
            {
                auto const at =
                    *rc::gen::inRange<std::size_t>(0, payload.size());
                payload[at] = *rc::gen::arbitrary<char>();
            }
            payload.resize(
                *rc::gen::inRange<std::size_t>(0, payload.size() + 1));
            check_total(bytes_of(payload));
        }));
}

TEST_CASE("a list whose size exceeds its frame is refused")
{
    // Envelope: field 2, a struct. Message: field 10, a struct. Handover:
    // field 7, a list of structs with a stated size of 2^31 - 1 elements.
    std::string const claim = "\x2c\xac\x79\xfc\xff\xff\xff\xff\x07";
    CHECK(decode_payload(bytes_of(claim)).error().code ==
          result_code::peer_protocol);
    std::string deep(2'000, '\x1c');
    CHECK(decode_payload(bytes_of(deep)).error().code ==
          result_code::peer_protocol);
}

TEST_CASE("the limits apply to encoding and decoding")
{
    frame_limits const tight{.max_payload_bytes = 64, .max_elements = 4};
    wire::envelope large;
    large.content = make_message(wire::heartbeat{});
    large.content.heartbeat_call.address.assign(100, 'a');
    CHECK_FALSE(encode_frame(large, tight).has_value());
    CHECK_FALSE(
        decode_payload(payload_of(*encode_frame(large)), tight).has_value());

    wire::envelope many;
    wire::borrow_reply reply;
    reply.slots.resize(5);
    many.content = make_message(reply);
    CHECK_FALSE(encode_frame(many, tight).has_value());
    CHECK_FALSE(
        decode_payload(payload_of(*encode_frame(many)), tight).has_value());

    CHECK_FALSE(decode_frame_header({0, 0, 0, 0}).has_value());
    CHECK_FALSE(decode_frame_header({1, 0, 0, 1}).has_value());
    CHECK(*decode_frame_header({1, 0, 0, 0}) == 16 << 20);
}

TEST_CASE("a message with no member or two members is refused")
{
    wire::envelope envelope;
    CHECK_FALSE(encode_frame(envelope).has_value());
    envelope.content = make_message(wire::probe{});
    envelope.content.__set_fetch_text_call({});
    CHECK_FALSE(encode_frame(envelope).has_value());
    CHECK_FALSE(kind_of(envelope.content));
    // Both members on the wire: two empty structs in the message.
    std::vector<std::uint8_t> const both{0x2c, 0x8c, 0, 0x6c, 0, 0, 0};
    CHECK_FALSE(decode_payload(both).has_value());
}
