#ifndef MASTICSHIFT_PLACEMENT_STABLE_HASH_HPP
#define MASTICSHIFT_PLACEMENT_STABLE_HASH_HPP

#include <cstdint>
#include <string_view>

namespace masticshift::placement
{

/// Hashes with the same result at all entries and in all builds.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);
std::uint64_t stable_hash(std::uint64_t number, std::uint64_t seed);

/// Maps a hash to a number above 0 and below 1.
double to_unit_interval(std::uint64_t hash);

} // namespace masticshift::placement

#endif
