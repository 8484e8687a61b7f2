#include "cancel_batch.hpp"

#include "endpoint_protocol.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace masticshift::daemon
{

namespace
{

/// How long cancellations are collected before they are sent.
constexpr milliseconds batch_window{5};

constexpr milliseconds response_timeout{1'000};

} // namespace

cancel_batch::cancel_batch(boost::asio::any_io_executor executor,
                           transport::http_client& client,
                           std::uint64_t& messages_sent)
    : executor_(std::move(executor)),
      client_(client),
      messages_sent_(messages_sent),
      flush_timer_(executor_)
{
}

void cancel_batch::add(config::socket_address const& endpoint,
                       std::string label)
{
    if (labels_.empty())
    {
        flush_timer_.expires_after(batch_window);
        flush_timer_.async_wait(
            [this](boost::system::error_code error)
            {
                if (!error)
                    flush();
            });
    }
    labels_[{endpoint.ip, endpoint.port}].push_back(std::move(label));
}

void cancel_batch::flush()
{
    auto const batches = std::exchange(labels_, {});
    for (auto const& [endpoint, labels] : batches)
    {
        ++messages_sent_;
        boost::asio::co_spawn(executor_, send(endpoint, labels),
                              boost::asio::detached);
    }
}

// A lost cancellation only wastes time of the endpoint: the job has ended.
boost::asio::awaitable<void> cancel_batch::send(address endpoint,
                                                std::vector<std::string> labels)
{
    auto request = make_cancel_request(labels);
    auto const deadline = steady_clock::now() + response_timeout;
    co_await client_.call(endpoint.first, endpoint.second, std::move(request),
                          deadline);
}

} // namespace masticshift::daemon
