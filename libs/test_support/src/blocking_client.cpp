#include <test_support/blocking_client.hpp>

#include <store/http_platform.hpp>
#include <store/timer_wait.hpp>

#include <boost/asio.hpp>

namespace masticshift::test_support
{

namespace asio = boost::asio;

namespace
{

constexpr milliseconds control_timeout{5'000};
constexpr milliseconds platform_timeout{1'000};

asio::awaitable<store::apply_answer>
apply_at(transport::http_client& client, config::socket_address address,
         store::configuration_change change)
{
    store::http_platform platform(client, std::move(address), platform_timeout);
    store::configuration_store configurations(platform, store::timer_wait{});
    co_return co_await configurations.apply(std::move(change), std::nullopt);
}

} // namespace

blocking_client::blocking_client(network_thread& network)
    : network_(network),
      client_(std::make_unique<transport::http_client>(
          network.executor(), transport::http_client_limits{}))
{
}

blocking_client::~blocking_client()
{
    network_.run(
        [this]
        {
            client_.reset();
        });
}

transport::call_result
blocking_client::call(config::socket_address const& address,
                      transport::http_request request, milliseconds timeout)
{
    auto const deadline = steady_clock::now() + timeout;
    auto response = asio::co_spawn(
        network_.executor(),
        [&]
        {
            return client_->call(address.ip, address.port, std::move(request),
                                 deadline);
        },
        asio::use_future);
    return response.get();
}

outcome<void> blocking_client::control(config::socket_address const& address,
                                       std::string const& body)
{
    auto const response =
        call(address, {"POST", "/control", {}, body}, control_timeout);
    if (!response)
        return response.error().error;
    if (response->status != 200)
        return failure{result_code::usage,
                       "the stand-in refused the /control body " + body};
    return {};
}

store::apply_answer
blocking_client::apply(config::socket_address const& platform,
                       store::configuration_change change)
{
    auto response = asio::co_spawn(
        network_.executor(), apply_at(*client_, platform, std::move(change)),
        asio::use_future);
    return response.get();
}

} // namespace masticshift::test_support
