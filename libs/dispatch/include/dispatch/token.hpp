#ifndef MASTICSHIFT_DISPATCH_TOKEN_HPP
#define MASTICSHIFT_DISPATCH_TOKEN_HPP

#include <cstdint>
#include <functional>

namespace masticshift::dispatch
{

/// A fencing token consists of an epoch in the high bits and a hash of the
/// dispatching entry's address in the low ones, so that two entries never use
/// the same one.
inline constexpr int token_entry_bits = 24;

/// Returns a token higher than the given one that no other dispatcher uses, or
/// the given one if there is none for now.
using token_source = std::function<std::int64_t(std::int64_t)>;

/// Next higher token of the same entry.
constexpr std::int64_t next_epoch(std::int64_t token)
{
    return token + (std::int64_t(1) << token_entry_bits);
}

} // namespace masticshift::dispatch

#endif
