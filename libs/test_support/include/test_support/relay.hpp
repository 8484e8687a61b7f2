#ifndef MASTICSHIFT_TEST_SUPPORT_RELAY_HPP
#define MASTICSHIFT_TEST_SUPPORT_RELAY_HPP

#include <config/daemon_settings.hpp>
#include <core/time.hpp>
#include <test_support/network_thread.hpp>

#include <memory>

namespace masticshift::test_support
{

/// How a relay treats its connections.
enum class link_state
{
    passing,
    /// Closes open connections and refuses new ones.
    cut,
    /// Connections open at this time stay open but lose all further data, also
    /// in later states. New connections work.
    silent,
    /// Passes all data on after the relay's delay.
    delayed,
    /// Resets open connections, and new ones once they are accepted.
    resetting,
    /// Connections open at this time hold all further data until the next
    /// state, and pass it on then. New connections work, so that their data
    /// overtakes it.
    held,
    /// Passes on what callers send and loses the responses, on the connections
    /// concerned also in later states.
    one_way
};

/// A TCP relay on loopback between two processes under test. All members may be
/// called on any thread except the network thread.
class relay
{
public:
    relay(network_thread& network, config::socket_address const& target);
    ~relay();

    relay(relay const&) = delete;
    relay& operator=(relay const&) = delete;

    config::socket_address address() const;
    void set(link_state state);
    void set_delay(milliseconds delay);

private:
    class impl;
    network_thread& network_;
    std::shared_ptr<impl> impl_;
};

} // namespace masticshift::test_support

#endif
