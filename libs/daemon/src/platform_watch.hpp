#ifndef MASTICSHIFT_DAEMON_PLATFORM_WATCH_HPP
#define MASTICSHIFT_DAEMON_PLATFORM_WATCH_HPP

#include "configuration_fetcher.hpp"
#include "entry_state.hpp"

#include <store/http_platform.hpp>
#include <store/vm_list.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>

namespace masticshift::daemon
{

/// Polls the platform for the configuration revision in force and the VM list.
class platform_watch
{
public:
    struct hooks
    {
        std::function<void(std::uint64_t revision)> on_revision;
        std::function<void(store::vm_list const&)> on_vms;
    };

    platform_watch(entry_state& state, store::http_platform& platform,
                   configuration_store& store, hooks callbacks);

    /// Runs until it is cancelled.
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<void> read_revision();
    boost::asio::awaitable<void> read_vms();

    entry_state& state_;
    store::http_platform& platform_;
    configuration_store& store_;
    hooks hooks_;
};

} // namespace masticshift::daemon

#endif
