#ifndef MASTICSHIFT_TEST_SUPPORT_STANDIN_HTTP_HPP
#define MASTICSHIFT_TEST_SUPPORT_STANDIN_HTTP_HPP

#include <core/outcome.hpp>
#include <core/time.hpp>
#include <transport/http_message.hpp>

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <optional>

namespace masticshift::test_support
{

namespace asio = boost::asio;
namespace json = boost::json;

constexpr auto as_values = asio::as_tuple(asio::use_awaitable);

/// Empty if the connection is closed without a response.
using standin_response = std::optional<transport::http_response>;

/// How often a waiting call checks whether there is something to respond.
constexpr milliseconds standin_poll_interval{5};

inline transport::http_response make_response(unsigned status,
                                              json::object const& body)
{
    transport::http_response response;
    response.status = status;
    response.fields.set("Content-Type", "application/json");
    response.body = json::serialize(body);
    return response;
}

inline transport::http_response make_error_response(failure const& error)
{
    return make_response(info_of(error.code).http_status, {});
}

/// An integer field of a body, or 0 if it is missing.
inline std::int64_t number_in(json::object const& body, char const* name)
{
    return body.contains(name) ? body.at(name).to_number<std::int64_t>() : 0;
}

inline asio::awaitable<void> wait_for(duration length)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, length);
    co_await timer.async_wait(as_values);
}

} // namespace masticshift::test_support

#endif
