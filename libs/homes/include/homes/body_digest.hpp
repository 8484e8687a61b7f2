#ifndef MASTICSHIFT_HOMES_BODY_DIGEST_HPP
#define MASTICSHIFT_HOMES_BODY_DIGEST_HPP

#include <core/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace masticshift::homes
{

/// Bytes of a digest.
inline constexpr std::size_t digest_size = 16;

/// Detects that an id was used for two different submissions. Not a
/// cryptographic hash.
struct body_digest
{
    std::array<std::uint8_t, digest_size> bytes{};

    friend bool operator==(body_digest const&, body_digest const&) = default;
};

enum class submission_kind : std::uint8_t
{
    job = 0,
    request = 1
};

std::string_view name_of(submission_kind kind);

/// The parts of a call that must be equal in all copies of a submission.
struct submission_parts
{
    submission_kind kind = submission_kind::job;
    std::string_view service;
    std::string_view body;
    bool idempotent = false;
    /// As sent by the caller; 0 when it sent none. The configured default is
    /// not used here, since it may change between two copies of a submission.
    milliseconds timeout{0};
};

/// XXH3-128 over all parts, the same in every process and build.
body_digest digest_of(submission_parts const& parts);

} // namespace masticshift::homes

#endif
