#include <peer_link/frame_codec.hpp>

#include <peer_link/message_kind.hpp>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <exception>
#include <memory>
#include <utility>

namespace masticshift::peer_link
{

namespace
{

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

using compact_protocol = TCompactProtocolT<TMemoryBuffer>;

constexpr int bits_per_byte = 8;

/// Maximum nesting depth of structures. The IDL needs five.
constexpr int recursion_limit = 16;

constexpr std::size_t first_buffer_bytes = 512;

failure protocol_failure(std::string detail)
{
    return {result_code::peer_protocol, std::move(detail)};
}

std::size_t longest_list(wire::heartbeat const& beat)
{
    return std::max({beat.loads.size(), beat.leaving_endpoints.size(),
                     beat.successions.size()});
}

std::size_t longest_list(wire::dispatch_job const& job)
{
    auto longest = job.steps.size();
    for (auto const& step : job.steps)
        longest = std::max(longest, step.after.size());
    return longest;
}

std::size_t longest_list(wire::message const& content)
{
    return std::max({longest_list(content.heartbeat_call),
                     longest_list(content.dispatch_call),
                     content.pulse_call.claims.size(),
                     content.pulse_answer.beat.claims.size(),
                     content.pulse_call.known.size(),
                     content.pulse_answer.beat.known.size(),
                     content.release_call.endpoints.size(),
                     content.speeds_call.speeds.size(),
                     longest_list(content.heartbeat_answer.beat),
                     content.borrow_answer.slots.size(),
                     content.give_back_call.slots.size(),
                     content.handover_call.records.size()});
}

void write_header(std::string& frame, std::size_t payload_bytes)
{
    for (std::size_t i = 0; i < frame_header_bytes; ++i)
    {
        auto const shift = bits_per_byte * (frame_header_bytes - 1 - i);
        frame[i] = static_cast<char>(payload_bytes >> shift);
    }
}

std::string serialize(wire::envelope const& envelope)
{
    auto buffer = std::make_shared<TMemoryBuffer>(first_buffer_bytes);
    std::uint8_t const placeholder[frame_header_bytes] = {};
    buffer->write(placeholder, frame_header_bytes);
    compact_protocol protocol(buffer);
    envelope.write(&protocol);
    return buffer->getBufferAsString();
}

wire::envelope deserialize(std::span<std::uint8_t const> payload,
                           frame_limits const& limits)
{
    auto const bytes = static_cast<int>(payload.size());
    auto const elements = std::min(limits.max_elements, payload.size());
    auto const configuration =
        std::make_shared<TConfiguration>(bytes, bytes, recursion_limit);
    // The buffer only observes the payload; it takes a mutable pointer.
    auto* const data = const_cast<std::uint8_t*>(payload.data());
    auto const buffer =
        std::make_shared<TMemoryBuffer>(data, static_cast<std::uint32_t>(bytes),
                                        TMemoryBuffer::OBSERVE, configuration);
    compact_protocol protocol(buffer, bytes, static_cast<int>(elements));
    wire::envelope envelope;
    envelope.read(&protocol);
    return envelope;
}

} // namespace

outcome<std::string> encode_frame(wire::envelope const& envelope,
                                  frame_limits const& limits)
{
    if (!kind_of(envelope.content))
        return protocol_failure("a message must have exactly one member set");
    if (longest_list(envelope.content) > limits.max_elements)
        return protocol_failure(
            "a list of the message exceeds the element limit");
    try
    {
        auto frame = serialize(envelope);
        auto const payload_bytes = frame.size() - frame_header_bytes;
        if (payload_bytes > limits.max_payload_bytes)
            return protocol_failure("the message exceeds the payload limit");
        write_header(frame, payload_bytes);
        return frame;
    }
    catch (std::exception const& error)
    {
        return protocol_failure(error.what());
    }
}

outcome<std::size_t> decode_frame_header(frame_header const& header,
                                         frame_limits const& limits)
{
    std::size_t bytes = 0;
    for (auto const byte : header)
        bytes = bytes << bits_per_byte | byte;
    if (bytes == 0)
        return protocol_failure("the frame has no payload");
    if (bytes > limits.max_payload_bytes)
        return protocol_failure("the frame exceeds the payload limit");
    return bytes;
}

outcome<wire::envelope> decode_payload(std::span<std::uint8_t const> payload,
                                       frame_limits const& limits)
{
    if (payload.empty() || payload.size() > limits.max_payload_bytes)
        return protocol_failure("the payload is empty or exceeds the limit");
    try
    {
        auto envelope = deserialize(payload, limits);
        if (!kind_of(envelope.content))
            return protocol_failure(
                "a message must have exactly one member set");
        return envelope;
    }
    catch (std::exception const& error)
    {
        return protocol_failure(error.what());
    }
}

} // namespace masticshift::peer_link
