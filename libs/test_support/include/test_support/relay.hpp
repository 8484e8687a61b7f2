#ifndef MASTICSHIFT_TEST_SUPPORT_RELAY_HPP
#define MASTICSHIFT_TEST_SUPPORT_RELAY_HPP

#include <config/daemon_settings.hpp>
#include <core/time.hpp>
#include <test_support/network_thread.hpp>

#include <memory>

namespace masticshift::test_support
{

/// What a relay does from now on.
enum class link_state
{
    passing,
    /// Open connections are closed and new ones are refused.
    cut,
    /// Open connections stay open and carry nothing any more, for good. New
    /// ones work.
    silent,
    /// As passing, each piece of data later by the relay's delay.
    delayed
};

/// A TCP relay on loopback between two processes under test. All members may
/// be called on any thread but that of the network.
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
