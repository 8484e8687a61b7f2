#ifndef MASTICSHIFT_HOMES_SUBMISSION_ID_HPP
#define MASTICSHIFT_HOMES_SUBMISSION_ID_HPP

#include <core/outcome.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace masticshift::homes
{

/// Characters of a nonce at most.
inline constexpr std::size_t max_nonce_length = 64;

/// Hexadecimal digits of the MAC in a home token.
inline constexpr std::size_t mac_length = 32;

/// One run of an entry: two processes never share both members.
struct process_name
{
    /// Peer address, `IP:PORT`.
    std::string address;
    std::uint64_t incarnation = 0;

    friend bool operator==(process_name const&, process_name const&) = default;
    friend bool operator<(process_name const& left, process_name const& right);
};

std::string to_string(process_name const& process);

/// Names the process and the generation that ids are formed for.
struct home_token
{
    /// Peer address, `IP:PORT`.
    std::string address;
    std::uint64_t incarnation = 0;
    std::uint32_t generation = 0;
    /// Empty when the home has no key.
    std::string mac;

    friend bool operator==(home_token const&, home_token const&) = default;
};

/// The id of a job or request. Only the process in `home` may start its tasks.
struct submission_id
{
    home_token home;
    std::string nonce;

    friend bool operator==(submission_id const&,
                           submission_id const&) = default;
};

/// Whether a token names this process.
bool names(home_token const& token, process_name const& process);

/// The process that a token names.
process_name process_of(home_token const& token);

/// `ADDRESS~INCARNATION~GENERATION`, the part that the MAC covers.
std::string unsigned_text(home_token const& token);

std::string to_string(home_token const& token);
std::string to_string(submission_id const& id);

/// Parses the text form of docs/API.md. Takes exactly the spelling that
/// `to_string` produces, so that one submission never has two spellings; any
/// other gives `id_malformed`. Does not check the MAC.
outcome<home_token> parse_home_token(std::string_view text);

/// As `parse_home_token`, for a whole id.
outcome<submission_id> parse_submission_id(std::string_view text);

} // namespace masticshift::homes

#endif
