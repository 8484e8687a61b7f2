#include "store_client.hpp"

#include <core/log.hpp>

#include <sstream>

namespace masticshift::gateway
{

namespace
{

constexpr unsigned status_server_error = 500;
constexpr unsigned status_too_many = 429;

/// Whether the store refused the call instead of processing it.
bool is_refusal(transport::http_response const& response)
{
    return response.status >= status_server_error ||
           response.status == status_too_many;
}

} // namespace

asio::awaitable<transport::call_result>
store_client::call(transport::http_request request, milliseconds timeout)
{
    state_.metrics.store_calls.add();
    auto const address = state_.settings.store_address;
    auto result =
        co_await http_.call(address.ip, address.port, std::move(request),
                            steady_clock::now() + timeout);
    bool const answered = result && !is_refusal(*result);
    std::ostringstream detail;
    if (!result)
        detail << result.error();
    else if (!answered)
        detail << "status " << result->status;
    if (!answered)
        state_.metrics.store_failures.add();
    if (!result)
        http_.close_pooled(address.ip, address.port, steady_clock::now());
    set_reachable(answered, detail.str());
    co_return result;
}

void store_client::set_reachable(bool reachable, std::string const& detail)
{
    if (std::exchange(reachable_, reachable) == reachable)
        return;
    log_event(reachable ? log_level::info : log_level::warning,
              reachable ? "store_regained" : "store_lost",
              {{"detail", detail}});
}

asio::awaitable<outcome<transport::http_response>>
store_client::relay(std::string target, milliseconds timeout)
{
    auto const peer = state_.roster.next_live_peer(steady_clock::now());
    if (!peer)
        co_return failure{result_code::platform_unavailable,
                          "no live peer to read the store through"};
    state_.metrics.relayed_reads.add();
    wire::relay_read content;
    content.target = std::move(target);
    content.timeout_ms = static_cast<std::int32_t>(timeout.count());
    auto message = peer_link::make_message(std::move(content));
    auto const result = co_await call_peer(peers_, *peer, std::move(message),
                                           steady_clock::now() + 2 * timeout);
    if (!result)
        co_return result.error().error;
    auto const& reply = result->relay_answer;
    if (reply.status == 0)
        co_return failure{result_code::platform_unavailable,
                          "the peer cannot reach the store either"};
    transport::http_response response;
    response.status = static_cast<unsigned>(reply.status);
    response.body = reply.body;
    co_return response;
}

outcome<platform::store_rows>
store_client::decode(std::string const& target,
                     transport::http_response const& response)
{
    auto rows = platform::decode_rows(response);
    if (!rows)
        return rows;
    auto const table = transport::query_parameter(target, "table");
    auto const skipped = rows->skipped;
    if (std::exchange(skipped_[table], skipped) != skipped && skipped > 0)
        log_event(log_level::warning, "store_rows_skipped",
                  {{"table", table},
                   {"code", static_cast<int>(result_code::platform_bad_answer)},
                   {"skipped", skipped}});
    return rows;
}

asio::awaitable<outcome<platform::store_rows>>
store_client::read(transport::http_request request, milliseconds timeout,
                   bool& history_gone)
{
    auto const target = request.target;
    auto const direct = co_await call(std::move(request), timeout);
    history_gone = false;
    if (direct && !is_refusal(*direct))
    {
        history_gone = platform::is_history_gone(*direct);
        co_return decode(target, *direct);
    }
    auto const relayed = co_await relay(target, timeout);
    if (!relayed)
        co_return relayed.error();
    history_gone = platform::is_history_gone(*relayed);
    co_return decode(target, *relayed);
}

} // namespace masticshift::gateway
