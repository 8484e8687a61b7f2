#ifndef MASTICSHIFT_PEER_LINK_FRAME_CODEC_HPP
#define MASTICSHIFT_PEER_LINK_FRAME_CODEC_HPP

#include <core/outcome.hpp>
#include <peer_link/wire.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace masticshift::peer_link
{

/// Size of the length field in front of each payload.
constexpr std::size_t frame_header_bytes = 4;

using frame_header = std::array<std::uint8_t, frame_header_bytes>;

struct frame_limits
{
    /// Upper bound of the payload size.
    std::size_t max_payload_bytes = 16 << 20;
    /// Upper bound of the number of elements of one list.
    std::size_t max_elements = 65'536;
};

/// Encodes an envelope as a frame: the length, then the payload. Fails with
/// `peer_protocol` when the message exceeds the limits or does not have exactly
/// one member set.
outcome<std::string> encode_frame(wire::envelope const& envelope,
                                  frame_limits const& limits = {});

/// Returns the length of the payload that follows. Fails with `peer_protocol`
/// when it is zero or above the limit.
outcome<std::size_t> decode_frame_header(frame_header const& header,
                                         frame_limits const& limits = {});

/// Decodes the envelope of a payload. Fails with `peer_protocol` on any
/// malformed input and never throws; its memory use is bounded by the limits.
outcome<wire::envelope> decode_payload(std::span<std::uint8_t const> payload,
                                       frame_limits const& limits = {});

} // namespace masticshift::peer_link

#endif
