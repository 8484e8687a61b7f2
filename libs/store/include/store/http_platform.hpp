#ifndef MASTICSHIFT_STORE_HTTP_PLATFORM_HPP
#define MASTICSHIFT_STORE_HTTP_PLATFORM_HPP

#include <config/daemon_settings.hpp>
#include <core/outcome.hpp>
#include <core/time.hpp>
#include <store/platform_client.hpp>
#include <store/table.hpp>
#include <store/vm_list.hpp>
#include <transport/http_client.hpp>

#include <boost/asio/awaitable.hpp>

#include <string>

namespace masticshift::store
{

/// A `platform_client` over the HTTP protocol of docs/PLATFORM.md.
class http_platform
{
public:
    /// The client must outlive this object. `timeout` applies to each call.
    http_platform(transport::http_client& client,
                  config::socket_address address, milliseconds timeout);

    boost::asio::awaitable<outcome<table_entry>> read(table_key key);
    boost::asio::awaitable<commit_answer> commit(transaction write);
    boost::asio::awaitable<outcome<vm_list>> read_vms();

private:
    boost::asio::awaitable<transport::call_result>
    call(transport::http_request request);

    transport::http_client& client_;
    config::socket_address address_;
    milliseconds timeout_;
};

static_assert(platform_client<http_platform>);

} // namespace masticshift::store

#endif
