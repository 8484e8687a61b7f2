#ifndef MASTICSHIFT_HOMES_SUBMISSION_ID_HPP
#define MASTICSHIFT_HOMES_SUBMISSION_ID_HPP

#include <core/outcome.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace masticshift::homes
{

/// Maximum number of characters of a nonce.
inline constexpr std::size_t max_nonce_length = 64;

/// Hexadecimal digits of the MAC in a home token.
inline constexpr std::size_t mac_length = 32;

/// Identifies one process of an entry. Two processes never have the same
/// address and incarnation.
struct process_name
{
    /// Peer address, `IP:PORT`.
    std::string address;
    std::uint64_t incarnation = 0;

    friend bool operator==(process_name const&, process_name const&) = default;
    friend bool operator<(process_name const& left, process_name const& right);
};

std::string to_string(process_name const& process);

/// A token that an entry issues to callers, who form ids from it. Identifies
/// the home of these ids, which is the process that owns them and alone may
/// start their tasks, and their generation, which is evicted as a whole.
struct home_token
{
    /// Peer address, `IP:PORT`.
    std::string address;
    std::uint64_t incarnation = 0;
    std::uint32_t generation = 0;
    /// Empty when the home has no key to sign with.
    std::string mac;

    friend bool operator==(home_token const&, home_token const&) = default;
};

/// The id of a submission (a job or request). Only the process that `home`
/// identifies may start its tasks.
struct submission_id
{
    home_token home;
    /// Chosen by the caller; distinguishes the ids of one home and generation.
    std::string nonce;

    friend bool operator==(submission_id const&,
                           submission_id const&) = default;
};

/// Whether `process` is the home that the token identifies.
bool is_home_of(home_token const& token, process_name const& process);

/// The process that a token identifies as the home.
process_name home_process_of(home_token const& token);

/// `ADDRESS~INCARNATION~GENERATION`, the part that the MAC covers.
std::string unsigned_text(home_token const& token);

std::string to_string(home_token const& token);
std::string to_string(submission_id const& id);

/// Parses the text form of docs/API.md. Accepts only the spelling that
/// `to_string` produces, so that a token has a single spelling; any other text
/// gives `id_malformed`. Does not verify the MAC.
outcome<home_token> parse_home_token(std::string_view text);

/// As `parse_home_token`, for a whole id.
outcome<submission_id> parse_submission_id(std::string_view text);

} // namespace masticshift::homes

#endif
