#ifndef MASTICSHIFT_TRANSPORT_HTTP_MESSAGE_HPP
#define MASTICSHIFT_TRANSPORT_HTTP_MESSAGE_HPP

#include <string>
#include <string_view>
#include <vector>

namespace masticshift::transport
{

/// One header field.
struct http_field
{
    std::string name;
    std::string value;
};

/// Header fields in order. Names are compared without case.
struct http_fields
{
    std::vector<http_field> list;

    /// The value of the first field of this name, or an empty string.
    std::string_view operator[](std::string_view name) const;
    void set(std::string_view name, std::string_view value);
};

struct http_request
{
    std::string method = "GET";
    /// Path and query, percent-encoded.
    std::string target = "/";
    http_fields fields;
    std::string body;
};

struct http_response
{
    unsigned status = 200;
    http_fields fields;
    std::string body;
};

/// The path of a target, without the query.
std::string_view path_of(std::string_view target);

/// The percent-decoded value of a query parameter, or an empty string.
std::string query_parameter(std::string_view target, std::string_view name);

/// Percent-encodes everything but unreserved characters.
std::string percent_encode(std::string_view text);
std::string percent_decode(std::string_view text);

} // namespace masticshift::transport

#endif
