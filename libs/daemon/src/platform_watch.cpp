#include "platform_watch.hpp"

#include <core/log.hpp>

namespace masticshift::daemon
{

namespace
{

namespace asio = boost::asio;

void log_failure(std::string_view event, failure const& error)
{
    boost::json::object fields;
    fields["code"] = static_cast<int>(error.code);
    fields["reason"] = error.detail;
    log_event(log_level::warning, event, std::move(fields));
}

} // namespace

platform_watch::platform_watch(
    entry_state& state, configuration_holder& holder,
    transport::http_client& client,
    std::function<void(platform::vm_list const&)> on_vms)
    : state_(state),
      holder_(holder),
      platform_(client, state.settings.platform.address,
                state.settings.platform.timeout),
      store_(platform_, platform::timer_wait{}),
      on_vms_(std::move(on_vms))
{
}

asio::awaitable<void> platform_watch::run()
{
    platform::timer_wait const pause;
    while (true)
    {
        co_await read_configuration();
        co_await read_vms();
        co_await pause(state_.settings.platform.poll_interval);
    }
}

asio::awaitable<void> platform_watch::read_configuration()
{
    ++state_.metrics.platform_calls;
    auto const revision = co_await store_.read_revision();
    if (!revision)
    {
        log_failure("platform_read_failed", revision.error());
        co_return;
    }
    if (*revision <= holder_.revision())
        co_return;
    ++state_.metrics.platform_calls;
    auto const record = co_await store_.read_configuration();
    if (!record)
    {
        log_failure("platform_read_failed", record.error());
        co_return;
    }
    auto const now = steady_clock::now();
    auto const in_force =
        holder_.put_in_force(record->revision, record->text, "platform", now);
    if (!in_force)
        log_failure("configuration_refused", in_force.error());
}

asio::awaitable<void> platform_watch::read_vms()
{
    ++state_.metrics.platform_calls;
    auto const vms = co_await platform_.read_vms();
    if (!vms)
    {
        log_failure("platform_read_failed", vms.error());
        co_return;
    }
    on_vms_(*vms);
}

} // namespace masticshift::daemon
