#ifndef REVIEW_STANDIN_3_HTTP_HPP
#define REVIEW_STANDIN_3_HTTP_HPP

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace review
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

using request = http::request<http::string_body>;
using response = http::response<http::string_body>;

/// Handles a request. No response: the connection stays open without one.
using handler =
    std::function<asio::awaitable<std::optional<response>>(request const&)>;

constexpr auto as_values = asio::as_tuple(asio::use_awaitable);

/// Serves HTTP/1.1 on one loopback address.
class http_listener
{
public:
    http_listener(asio::io_context& context, handler handle);

    /// Port 0 picks a free one.
    void listen(std::string const& ip, std::uint16_t port);
    std::uint16_t port() const;

private:
    static asio::awaitable<void> accept(http_listener& self);
    static asio::awaitable<void> serve(http_listener& self, tcp::socket socket);

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    handler handle_;
};

response make_response(unsigned status, json::value const& body);

struct address
{
    std::string ip;
    std::uint16_t port = 0;
};

std::string to_string(address const& of);

/// The outcome of a client's call. Status 0: no complete response.
struct call_outcome
{
    unsigned status = 0;
    std::string body;
    std::string error;
};

/// Calls over a new connection, which is closed afterwards.
asio::awaitable<call_outcome> call(address to, request message,
                                   milliseconds timeout);

/// A loopback port that was free a moment ago.
std::uint16_t free_port(std::string const& ip);

asio::awaitable<void> wait(milliseconds length);

} // namespace review

#endif
