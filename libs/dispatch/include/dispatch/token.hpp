#ifndef MASTICSHIFT_DISPATCH_TOKEN_HPP
#define MASTICSHIFT_DISPATCH_TOKEN_HPP

#include <cstdint>
#include <functional>

namespace masticshift::dispatch
{

/// A fencing token consists of the number of a claim, the number of times that
/// it was raised, and a hash of the dispatching entry's address, from the high
/// bits to the low ones. The next claim of a cell outranks all tokens of the
/// former one, also those that its dispatcher has never heard of.
inline constexpr int token_entry_bits = 16;
inline constexpr int token_raise_bits = 8;
inline constexpr int token_claim_shift = token_entry_bits + token_raise_bits;

/// Returns a token higher than the given one that no other dispatcher uses, or
/// the given one if there is none for now.
using token_source = std::function<std::int64_t(std::int64_t)>;

/// Next higher token of the same claim.
constexpr std::int64_t raised_token(std::int64_t token)
{
    return token + (std::int64_t(1) << token_entry_bits);
}

} // namespace masticshift::dispatch

#endif
