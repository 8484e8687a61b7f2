#include <store/http_platform.hpp>

#include "platform_messages.hpp"

#include <utility>

namespace masticshift::store
{

namespace
{

constexpr unsigned status_ok = 200;

} // namespace

http_platform::http_platform(transport::http_client& client,
                             config::socket_address address,
                             milliseconds timeout)
    : client_(client), address_(std::move(address)), timeout_(timeout)
{
}

boost::asio::awaitable<outcome<table_entry>> http_platform::read(table_key key)
{
    auto const answer = co_await call(read_request(key));
    if (!answer)
        co_return call_error(answer.error());
    co_return parse_table_entry(*answer);
}

boost::asio::awaitable<commit_answer> http_platform::commit(transaction write)
{
    auto const answer = co_await call(commit_request(write));
    if (!answer)
        co_return commit_result(answer.error());
    co_return commit_result(*answer);
}

boost::asio::awaitable<outcome<vm_list>> http_platform::read_vms()
{
    transport::http_request request;
    request.target = "/v1/vms";
    auto const answer = co_await call(std::move(request));
    if (!answer)
        co_return call_error(answer.error());
    if (answer->status != status_ok)
        co_return unexpected_response(*answer);
    co_return parse_vm_list(answer->body);
}

boost::asio::awaitable<transport::call_result>
http_platform::call(transport::http_request request)
{
    return client_.call(address_.ip, address_.port, std::move(request),
                        steady_clock::now() + timeout_);
}

} // namespace masticshift::store
