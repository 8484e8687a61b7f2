#ifndef MASTICSHIFT_TRANSPORT_BEAST_TYPES_HPP
#define MASTICSHIFT_TRANSPORT_BEAST_TYPES_HPP

#include <transport/http_message.hpp>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

namespace masticshift::transport
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

/// Completion token that returns the error code as a value instead of throwing.
constexpr auto as_values = asio::as_tuple(asio::use_awaitable);

/// Copies Beast's header fields into `http_fields`.
template <class Fields>
http_fields copy_fields(Fields const& fields)
{
    http_fields copy;
    for (auto const& field : fields)
        copy.list.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    return copy;
}

} // namespace masticshift::transport

#endif
