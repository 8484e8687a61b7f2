#ifndef MASTICSHIFT_TEST_SUPPORT_BLOCKING_CLIENT_HPP
#define MASTICSHIFT_TEST_SUPPORT_BLOCKING_CLIENT_HPP

#include <config/daemon_settings.hpp>
#include <store/configuration_store.hpp>
#include <test_support/network_thread.hpp>
#include <transport/http_client.hpp>

#include <memory>
#include <string>

namespace masticshift::test_support
{

/// HTTP client for threads outside the network thread: each call blocks until
/// its response.
class blocking_client
{
public:
    explicit blocking_client(network_thread& network);
    ~blocking_client();

    blocking_client(blocking_client const&) = delete;
    blocking_client& operator=(blocking_client const&) = delete;

    transport::call_result call(config::socket_address const& address,
                                transport::http_request request,
                                milliseconds timeout);

    /// Posts a body to `/control` of a stand-in.
    outcome<void> control(config::socket_address const& address,
                          std::string const& body);

    /// Applies a configuration through the store, as the command-line tool
    /// does.
    store::apply_answer apply(config::socket_address const& platform,
                              store::configuration_change change);

private:
    network_thread& network_;
    std::unique_ptr<transport::http_client> client_;
};

} // namespace masticshift::test_support

#endif
