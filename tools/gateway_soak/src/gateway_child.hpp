#ifndef MASTICSHIFT_GATEWAY_SOAK_GATEWAY_CHILD_HPP
#define MASTICSHIFT_GATEWAY_SOAK_GATEWAY_CHILD_HPP

#include <test_support/child_process.hpp>
#include <test_support/relay.hpp>
#include <test_support/reserved_port.hpp>
#include <test_support/scratch_folder.hpp>

#include <memory>
#include <string>

namespace masticshift::gateway_soak
{

/// A gateway process with its settings, the relay through which peers reach it
/// and the relay through which it reaches the store.
class gateway_child
{
public:
    gateway_child(test_support::network_thread& network,
                  test_support::scratch_folder const& folder,
                  std::string const& program, std::string name,
                  std::string const& data_centre,
                  config::socket_address const& store);

    void start();
    void signal(int number);
    void kill();
    bool is_running();

    /// Waits until the process has ended. False after the timeout.
    bool wait(milliseconds timeout);

    config::socket_address caller_address() const
    {
        return caller_port_.address();
    }

    test_support::relay& peer_link()
    {
        return peer_link_;
    }

    test_support::relay& store_link()
    {
        return store_link_;
    }

    std::string const& name() const
    {
        return name_;
    }

private:
    std::string program_;
    std::string name_;
    std::string settings_path_;
    std::string error_path_;
    test_support::reserved_port caller_port_;
    test_support::reserved_port ready_port_;
    test_support::reserved_port peer_port_;
    test_support::relay peer_link_;
    test_support::relay store_link_;
    test_support::child_process process_;
};

} // namespace masticshift::gateway_soak

#endif
