#ifndef MASTICSHIFT_DISPATCH_STABLE_HASH_HPP
#define MASTICSHIFT_DISPATCH_STABLE_HASH_HPP

#include <cstdint>
#include <string_view>

namespace masticshift::dispatch
{

/// A hash that is the same in every process: FNV-1a.
inline std::uint64_t stable_hash(std::string_view text)
{
    std::uint64_t hash = 14'695'981'039'346'656'037ULL;
    for (unsigned char const byte : text)
        hash = (hash ^ byte) * 1'099'511'628'211ULL;
    return hash;
}

} // namespace masticshift::dispatch

#endif
