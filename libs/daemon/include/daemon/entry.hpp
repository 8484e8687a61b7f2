#ifndef MASTICSHIFT_DAEMON_ENTRY_HPP
#define MASTICSHIFT_DAEMON_ENTRY_HPP

#include <config/daemon_settings.hpp>
#include <core/outcome.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace masticshift::daemon
{

/// One entry of the dispatcher: all services of a `masticshiftd` process.
///
/// All members are called on the executor's thread, of which there is one.
/// The entry must live until the executor has run its last handler.
class entry
{
public:
    entry(boost::asio::any_io_executor const& executor,
          config::daemon_settings settings);
    ~entry();

    entry(entry const&) = delete;
    entry& operator=(entry const&) = delete;

    /// Opens the addresses of the settings and starts all loops. Calls
    /// `stopped` once, when a drain has ended. Fails with `bind_failed`.
    outcome<void> start(std::function<void()> stopped);

    /// Stops gracefully: closes admission, lets running jobs end and hands
    /// the table of ids to a peer. Later calls are ignored.
    void drain();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace masticshift::daemon

#endif
