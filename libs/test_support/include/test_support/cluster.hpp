#ifndef MASTICSHIFT_TEST_SUPPORT_CLUSTER_HPP
#define MASTICSHIFT_TEST_SUPPORT_CLUSTER_HPP

#include <test_support/blocking_client.hpp>
#include <test_support/child_process.hpp>
#include <test_support/history_writer.hpp>
#include <test_support/relay.hpp>
#include <test_support/reserved_port.hpp>
#include <test_support/scratch_folder.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace masticshift::test_support
{

struct cluster_options
{
    /// Folder that holds the executables.
    std::string programs;
    unsigned entries = 3;
    unsigned endpoints = 4;
    unsigned slots = 4;
    milliseconds drain_limit{8'000};
};

/// An endpoint process and the relay through which entries reach it.
struct cluster_endpoint
{
    child_process process;
    config::socket_address address;
    std::unique_ptr<relay> link;
    std::string history;
};

/// An entry process, the relay through which its peers reach it, and the one
/// through which it reaches the platform.
struct cluster_entry
{
    std::string name;
    child_process process;
    reserved_port caller_port;
    reserved_port peer_port;
    reserved_port operator_port;
    std::unique_ptr<relay> peer_link;
    std::unique_ptr<relay> platform_link;
    std::string data_centre;
    std::string settings;
    /// Path of the log of each process that was started for this entry.
    std::vector<std::string> logs;
};

/// A platform stand-in, endpoint stand-ins and entries as processes on
/// loopback, with relays between them. Members must be called on one thread,
/// except where noted.
class cluster
{
public:
    explicit cluster(cluster_options options);

    /// Starts everything, applies a first configuration and waits until it is
    /// in force at each entry.
    outcome<void> start();

    /// Starts a new process of an entry, on the same addresses.
    outcome<void> restart_entry(std::size_t index);

    /// Stops all entries gracefully, then the stand-ins.
    /// Fails when an entry does not stop within its limit.
    outcome<void> stop();

    /// Waits until an entry has stopped gracefully.
    outcome<void> await_stop(cluster_entry& entry) const;

    /// Applies a further configuration with a new change id and records the
    /// response to the operator. May be called on any thread.
    store::apply_answer apply();

    outcome<void> control_platform(std::string const& body);
    outcome<void> control_endpoint(std::size_t index, std::string const& body);
    /// Sets the platform's list of VMs, in which endpoint 0 is live or leaving.
    outcome<void> set_vm_list(bool first_endpoint_leaves);

    /// Records that an entry became unreachable, or reachable again.
    void record_entry_cut(std::size_t index);
    void record_entry_healed(std::size_t index);

    std::vector<cluster_entry>& entries();
    std::vector<cluster_endpoint>& endpoints();
    history_writer& records();
    scratch_folder& folder();
    blocking_client& client();

    std::string platform_history() const;
    std::vector<std::string> entry_logs() const;
    std::vector<std::string> endpoint_histories() const;
    /// Paths of the histories of all processes and of the test itself.
    std::vector<std::string> histories() const;
    /// The endpoints' own addresses, by the address of their relay.
    std::map<std::string, std::string> endpoint_names() const;

private:
    outcome<void> start_platform();
    outcome<void> start_endpoint(std::size_t index);
    void prepare_entry(std::size_t index);
    void write_settings(cluster_entry const& entry) const;
    outcome<void> start_entry(cluster_entry& entry);
    std::string service_text() const;
    std::string program(std::string const& name) const;

    cluster_options options_;
    scratch_folder folder_;
    history_writer records_;
    network_thread network_;
    blocking_client client_;
    config::socket_address platform_address_;
    child_process platform_;
    std::vector<cluster_endpoint> endpoints_;
    std::vector<cluster_entry> entries_;
    std::atomic<unsigned> changes_ = 0;
};

} // namespace masticshift::test_support

#endif
