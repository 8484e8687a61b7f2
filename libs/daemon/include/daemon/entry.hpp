#ifndef MASTICSHIFT_DAEMON_ENTRY_HPP
#define MASTICSHIFT_DAEMON_ENTRY_HPP

#include <config/daemon_settings.hpp>
#include <core/outcome.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace masticshift::daemon
{

/// Checks what the settings parser can't: that the placement policy exists.
/// Fails with `config_out_of_range`.
outcome<void> check_settings(config::daemon_settings const& settings);

/// One entry: all services of a `masticshiftd` process.
///
/// All members must be called on the executor's single thread.
/// The entry must live until the executor has run its last handler.
class entry
{
public:
    /// The settings must have passed `check_settings`.
    entry(boost::asio::any_io_executor const& executor,
          config::daemon_settings settings);
    ~entry();

    entry(entry const&) = delete;
    entry& operator=(entry const&) = delete;

    /// Listens on the addresses of the settings and starts all loops. Calls
    /// `stopped` once, when a drain has finished. Fails with `bind_failed`.
    outcome<void> start(std::function<void()> stopped);

    /// Stops gracefully: closes admission, waits for running jobs and hands
    /// the table of ids over to a peer. Later calls are ignored.
    void drain();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace masticshift::daemon

#endif
