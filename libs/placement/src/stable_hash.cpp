#include "stable_hash.hpp"

#include <array>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace masticshift::placement
{

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::uint64_t stable_hash(std::uint64_t number, std::uint64_t seed)
{
    constexpr int bits_of_byte = 8;
    std::array<unsigned char, sizeof number> bytes{};
    for (auto& byte : bytes)
    {
        byte = static_cast<unsigned char>(number);
        number >>= bits_of_byte;
    }
    return XXH64(bytes.data(), bytes.size(), seed);
}

double to_unit_interval(std::uint64_t hash)
{
    // Uses the upper 53 bits, the precision of a double.
    constexpr int dropped_bits = 11;
    constexpr double step = 0x1p-53;
    return (static_cast<double>(hash >> dropped_bits) + 0.5) * step;
}

} // namespace masticshift::placement
