#ifndef MASTICSHIFT_GATEWAY_GATEWAY_HPP
#define MASTICSHIFT_GATEWAY_GATEWAY_HPP

#include <config/gateway_settings.hpp>
#include <core/outcome.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace masticshift::gateway
{

/// An entry on the users' platform: takes callers' jobs and, while it is the
/// dispatcher, places them on endpoints.
///
/// All members are called on the executor's thread.
class gateway
{
public:
    gateway(boost::asio::any_io_executor executor,
            config::gateway_settings const& settings);
    ~gateway();

    gateway(gateway const&) = delete;
    gateway& operator=(gateway const&) = delete;

    /// Binds its addresses and starts. `stopped` is called when a drain has
    /// ended. Fails with `bind_failed`.
    outcome<void> start(std::function<void()> stopped);

    /// Finishes what it has taken, then stops.
    void drain();

    /// Applies changed settings, as far as they may change while it runs.
    void reload(config::gateway_settings const& settings);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace masticshift::gateway

#endif
