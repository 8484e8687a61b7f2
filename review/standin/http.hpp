#ifndef REVIEW_STANDIN_HTTP_HPP
#define REVIEW_STANDIN_HTTP_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace review
{

struct http_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct http_response
{
    unsigned status = 200;
    std::string body = "{}";
};

/// Handles a request on a thread of its connection. Without a response the
/// connection is closed.
using http_handler =
    std::function<std::optional<http_response>(http_request const&)>;

/// Serves HTTP/1.1 on a free port of 127.0.0.1 until the process ends, with a
/// thread for each connection. Returns the port.
std::uint16_t serve_http(http_handler handler);

/// What a client saw of a call. Status 0: no response.
struct call_result
{
    unsigned status = 0;
    std::string body;
    std::string detail;
};

/// Sends a request on a new connection to 127.0.0.1 and waits for the response.
/// Closes the connection after it, or after the timeout.
call_result call_http(std::uint16_t port, std::string const& method,
                      std::string const& target,
                      std::map<std::string, std::string> const& headers,
                      std::string const& body, int timeout_ms);

} // namespace review

#endif
