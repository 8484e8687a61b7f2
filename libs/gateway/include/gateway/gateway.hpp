#ifndef MASTICSHIFT_GATEWAY_GATEWAY_HPP
#define MASTICSHIFT_GATEWAY_GATEWAY_HPP

#include <config/gateway_settings.hpp>
#include <core/outcome.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace masticshift::gateway
{

/// An entry that uses the platform's store and endpoints: accepts callers' jobs
/// and, while it is the dispatcher of a cell, places their tasks on the cell's
/// endpoints.
///
/// All members must be called on the executor's thread.
class gateway
{
public:
    gateway(boost::asio::any_io_executor executor,
            config::gateway_settings const& settings);
    ~gateway();

    gateway(gateway const&) = delete;
    gateway& operator=(gateway const&) = delete;

    /// Binds the listening addresses and starts. `stopped` is called when a
    /// drain has ended. Fails with `bind_failed`.
    outcome<void> start(std::function<void()> stopped);

    /// Hands over its cells, finishes the accepted jobs, then stops.
    void drain();

    /// Applies the settings that may change at run time: the seeds and the
    /// store's address.
    void reload(config::gateway_settings const& settings);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace masticshift::gateway

#endif
