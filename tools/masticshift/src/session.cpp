#include "session.hpp"

#include <utility>

namespace masticshift::cli
{

namespace
{

/// The answer of a job may be larger than the bodies that entries accept.
constexpr std::size_t max_answer_bytes = 64 << 20;

transport::http_client_limits client_limits()
{
    transport::http_client_limits limits;
    limits.max_body_bytes = max_answer_bytes;
    return limits;
}

} // namespace

session::session(boost::asio::any_io_executor executor)
    : client_(std::move(executor), client_limits())
{
}

boost::asio::awaitable<transport::call_result>
session::call(config::socket_address const& address,
              transport::http_request request, milliseconds timeout)
{
    return client_.call(address.ip, address.port, std::move(request),
                        steady_clock::now() + timeout);
}

transport::http_client& session::client()
{
    return client_;
}

} // namespace masticshift::cli
