#include <config/daemon_settings.hpp>

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace masticshift::config
{

namespace
{

failure bad_address(std::string_view text)
{
    return {result_code::config_wrong_type,
            "'" + std::string(text) + "' is not of the form IP:PORT"};
}

} // namespace

std::string to_string(socket_address const& address)
{
    return address.ip + ":" + std::to_string(address.port);
}

outcome<socket_address> parse_socket_address(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return bad_address(text);
    socket_address address;
    boost::system::error_code error;
    auto const ip = boost::asio::ip::make_address(
        std::string(text.substr(0, colon)), error);
    if (error)
        return bad_address(text);
    // The canonical form, so that different spellings of an address compare
    // equal.
    address.ip = ip.to_string();
    auto const digits = text.substr(colon + 1);
    auto const* const end = digits.data() + digits.size();
    auto const parsed = std::from_chars(digits.data(), end, address.port);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return bad_address(text);
    return address;
}

} // namespace masticshift::config
