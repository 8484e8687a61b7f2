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

/// Nothing: the connection ends without an answer.
using standin_answer = std::optional<transport::http_response>;

/// How often waiting calls look whether they have something to tell.
constexpr milliseconds standin_poll{5};

inline transport::http_response make_answer(unsigned status,
                                            json::object const& body)
{
    transport::http_response response;
    response.status = status;
    response.fields.set("Content-Type", "application/json");
    response.body = json::serialize(body);
    return response;
}

inline transport::http_response make_error_answer(failure const& error)
{
    return make_answer(info_of(error.code).http_status, {});
}

/// A whole number of a body, 0 where it is missing.
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
