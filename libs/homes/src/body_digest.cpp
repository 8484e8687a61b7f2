#include <homes/body_digest.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace masticshift::homes
{

namespace
{

constexpr std::size_t bytes_per_number = 8;
constexpr std::size_t numbers_in_header = 5;
constexpr unsigned bits_per_byte = 8;

using header = std::array<std::uint8_t, numbers_in_header * bytes_per_number>;

// The lengths are part of the digest, so that moving bytes from one part to the
// next changes it.
header header_of(submission_parts const& parts)
{
    std::array<std::uint64_t, numbers_in_header> const numbers{
        static_cast<std::uint64_t>(parts.kind),
        static_cast<std::uint64_t>(parts.idempotent),
        static_cast<std::uint64_t>(parts.timeout.count()), parts.service.size(),
        parts.body.size()};
    header bytes{};
    for (std::size_t i = 0; i < bytes.size(); ++i)
    {
        auto const shift = bits_per_byte * (i % bytes_per_number);
        bytes[i] =
            static_cast<std::uint8_t>(numbers[i / bytes_per_number] >> shift);
    }
    return bytes;
}

} // namespace

std::string_view name_of(submission_kind kind)
{
    return kind == submission_kind::job ? "job" : "request";
}

body_digest digest_of(submission_parts const& parts)
{
    auto const lengths = header_of(parts);
    XXH3_state_t state;
    XXH3_128bits_reset(&state);
    XXH3_128bits_update(&state, lengths.data(), lengths.size());
    XXH3_128bits_update(&state, parts.service.data(), parts.service.size());
    XXH3_128bits_update(&state, parts.body.data(), parts.body.size());
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits_digest(&state));
    body_digest digest;
    std::ranges::copy(canonical.digest, digest.bytes.begin());
    return digest;
}

} // namespace masticshift::homes
