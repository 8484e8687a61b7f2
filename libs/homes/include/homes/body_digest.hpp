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

/// Tells two submissions with the same id apart. Not a cryptographic hash.
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

/// What makes two calls the same submission.
struct submission_parts
{
    submission_kind kind = submission_kind::job;
    std::string_view service;
    std::string_view body;
    bool idempotent = false;
    /// As the caller sent it, 0 when it named none: a default of the
    /// configuration may change between two copies of a submission.
    milliseconds timeout{0};
};

/// XXH3-128 over all parts, the same in every process and build.
body_digest digest_of(submission_parts const& parts);

} // namespace masticshift::homes

#endif
