#include <homes/submission_id.hpp>

#include <config/daemon_settings.hpp>

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <tuple>
#include <vector>

namespace masticshift::homes
{

namespace
{

constexpr char token_separator = '~';
constexpr char nonce_separator = '.';
constexpr std::size_t incarnation_length = 16;
constexpr int hexadecimal = 16;
constexpr int decimal = 10;
// The longest address is an IPv6 address with its port.
constexpr std::size_t max_address_length = 51;

failure malformed(std::string detail)
{
    return {result_code::id_malformed, std::move(detail)};
}

bool is_lower_hex(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

bool is_nonce_character(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
           (c >= 'A' && c <= 'Z') || c == '_' || c == '-';
}

template <class Integer>
std::optional<Integer> parse_integer(std::string_view digits, int base)
{
    Integer value = 0;
    auto const* const end = digits.data() + digits.size();
    auto const parsed = std::from_chars(digits.data(), end, value, base);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return value;
}

std::string hexadecimal_text(std::uint64_t value)
{
    std::array<char, incarnation_length> digits{};
    auto* const begin = digits.data();
    auto const written =
        std::to_chars(begin, begin + digits.size(), value, hexadecimal);
    std::string const text(begin, written.ptr);
    return std::string(incarnation_length - text.size(), '0') + text;
}

bool is_canonical_address(std::string_view text)
{
    if (text.size() > max_address_length)
        return false;
    auto const address = config::parse_socket_address(text);
    if (!address || address->port == 0 || config::to_string(*address) != text)
        return false;
    boost::system::error_code error;
    auto const ip = boost::asio::ip::make_address(address->ip, error);
    return !error && ip.to_string() == address->ip;
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    auto rest = text;
    for (auto at = rest.find(separator); at != std::string_view::npos;
         at = rest.find(separator))
    {
        parts.push_back(rest.substr(0, at));
        rest.remove_prefix(at + 1);
    }
    parts.push_back(rest);
    return parts;
}

outcome<std::uint64_t> parse_incarnation(std::string_view text)
{
    bool const canonical = text.size() == incarnation_length &&
                           std::ranges::all_of(text, is_lower_hex);
    if (!canonical)
        return malformed("the incarnation is not 16 lower-case hex digits");
    return *parse_integer<std::uint64_t>(text, hexadecimal);
}

outcome<std::uint32_t> parse_generation(std::string_view text)
{
    auto const generation = parse_integer<std::uint32_t>(text, decimal);
    if (!generation || std::to_string(*generation) != text)
        return malformed("the generation is not a decimal 32-bit number");
    return *generation;
}

} // namespace

bool operator<(process_name const& left, process_name const& right)
{
    return std::tie(left.address, left.incarnation) <
           std::tie(right.address, right.incarnation);
}

bool is_home_of(home_token const& token, process_name const& process)
{
    return token.incarnation == process.incarnation &&
           token.address == process.address;
}

std::string to_string(process_name const& process)
{
    return process.address + token_separator +
           hexadecimal_text(process.incarnation);
}

process_name home_process_of(home_token const& token)
{
    return {token.address, token.incarnation};
}

std::string unsigned_text(home_token const& token)
{
    return to_string(home_process_of(token)) + token_separator +
           std::to_string(token.generation);
}

std::string to_string(home_token const& token)
{
    auto text = unsigned_text(token);
    if (!token.mac.empty())
        text += token_separator + token.mac;
    return text;
}

std::string to_string(submission_id const& id)
{
    return to_string(id.home) + nonce_separator + id.nonce;
}

outcome<home_token> parse_home_token(std::string_view text)
{
    constexpr std::size_t unsigned_parts = 3;
    constexpr std::size_t signed_parts = 4;
    auto const parts = split(text, token_separator);
    if (parts.size() != unsigned_parts && parts.size() != signed_parts)
        return malformed("a home token has three or four parts");
    if (!is_canonical_address(parts[0]))
        return malformed("the address is not of the form IP:PORT");
    auto const incarnation = parse_incarnation(parts[1]);
    if (!incarnation)
        return incarnation.error();
    auto const generation = parse_generation(parts[2]);
    if (!generation)
        return generation.error();
    home_token token{std::string(parts[0]), *incarnation, *generation, {}};
    if (parts.size() == unsigned_parts)
        return token;
    token.mac = parts[3];
    if (token.mac.size() != mac_length ||
        !std::ranges::all_of(token.mac, is_lower_hex))
        return malformed("the MAC is not 32 lower-case hex digits");
    return token;
}

outcome<submission_id> parse_submission_id(std::string_view text)
{
    auto const dot = text.rfind(nonce_separator);
    if (dot == std::string_view::npos)
        return malformed("an id has the form HOME.NONCE");
    auto const nonce = text.substr(dot + 1);
    if (nonce.empty() || nonce.size() > max_nonce_length)
        return malformed("a nonce has 1 to 64 characters");
    if (!std::ranges::all_of(nonce, is_nonce_character))
        return malformed("a nonce has only A-Z, a-z, 0-9, _ and -");
    auto home = parse_home_token(text.substr(0, dot));
    if (!home)
        return home.error();
    return submission_id{std::move(*home), std::string(nonce)};
}

} // namespace masticshift::homes
