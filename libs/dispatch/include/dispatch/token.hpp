#ifndef MASTICSHIFT_DISPATCH_TOKEN_HPP
#define MASTICSHIFT_DISPATCH_TOKEN_HPP

#include <algorithm>
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

/// Tokens are exact as JSON numbers, and the next higher one has to be too.
inline constexpr std::int64_t largest_token = std::int64_t(1) << 52;
inline constexpr std::int64_t largest_claim_number =
    (largest_token >> token_claim_shift) - 1;

/// Claims count from 2026, so that tokens stay below `largest_token`.
inline constexpr std::int64_t first_claim_second = 1'767'225'600;

/// The claim number that corresponds to a time. Claims never fall below it, so
/// that a new process outranks the earlier ones without knowing their tokens.
constexpr std::int64_t claim_number_at(std::int64_t unix_seconds)
{
    // Leaves claims for searches above those of a clock that is far ahead.
    return std::clamp<std::int64_t>(unix_seconds - first_claim_second, 1,
                                    largest_claim_number - (1 << 26));
}

constexpr std::int64_t claim_number_of(std::int64_t token)
{
    return token >> token_claim_shift;
}

/// Returns a token higher than the given one that no other dispatcher uses, or
/// the given one if there is none for now.
using token_source = std::function<std::int64_t(std::int64_t)>;

/// Next higher token of the same claim.
constexpr std::int64_t raised_token(std::int64_t token)
{
    return std::min(token + (std::int64_t(1) << token_entry_bits),
                    largest_token - 1);
}

} // namespace masticshift::dispatch

#endif
