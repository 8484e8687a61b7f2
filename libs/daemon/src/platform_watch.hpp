#ifndef MASTICSHIFT_DAEMON_PLATFORM_WATCH_HPP
#define MASTICSHIFT_DAEMON_PLATFORM_WATCH_HPP

#include "configuration_holder.hpp"
#include "entry_state.hpp"

#include <platform/configuration_store.hpp>
#include <platform/http_platform.hpp>
#include <platform/timer_wait.hpp>
#include <platform/vm_list.hpp>
#include <transport/http_client.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace masticshift::daemon
{

/// Reads the revision in force and the VM list from the platform again and
/// again.
class platform_watch
{
public:
    platform_watch(entry_state& state, configuration_holder& holder,
                   transport::http_client& client,
                   std::function<void(platform::vm_list const&)> on_vms);

    /// Runs until it is cancelled.
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<void> read_configuration();
    boost::asio::awaitable<void> read_vms();

    entry_state& state_;
    configuration_holder& holder_;
    platform::http_platform platform_;
    platform::configuration_store<platform::http_platform, platform::timer_wait>
        store_;
    std::function<void(platform::vm_list const&)> on_vms_;
};

} // namespace masticshift::daemon

#endif
