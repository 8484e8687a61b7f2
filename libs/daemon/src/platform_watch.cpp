#include "platform_watch.hpp"

#include "failure_log.hpp"

namespace masticshift::daemon
{

namespace
{

namespace asio = boost::asio;

} // namespace

platform_watch::platform_watch(entry_state& state,
                               store::http_platform& platform,
                               configuration_store& store, hooks callbacks)
    : state_(state),
      platform_(platform),
      store_(store),
      hooks_(std::move(callbacks))
{
}

asio::awaitable<void> platform_watch::run()
{
    store::timer_wait const pause;
    while (true)
    {
        co_await read_revision();
        co_await read_vms();
        co_await pause(state_.settings.platform.poll_interval);
    }
}

asio::awaitable<void> platform_watch::read_revision()
{
    ++state_.metrics.platform_calls;
    auto const revision = co_await store_.read_revision();
    if (revision)
        hooks_.on_revision(*revision);
    else
        log_failure("platform_read_failed", revision.error());
}

asio::awaitable<void> platform_watch::read_vms()
{
    ++state_.metrics.platform_calls;
    auto const vms = co_await platform_.read_vms();
    if (vms)
        hooks_.on_vms(*vms);
    else
        log_failure("platform_read_failed", vms.error());
}

} // namespace masticshift::daemon
