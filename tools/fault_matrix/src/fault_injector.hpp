#ifndef MASTICSHIFT_FAULT_MATRIX_FAULT_INJECTOR_HPP
#define MASTICSHIFT_FAULT_MATRIX_FAULT_INJECTOR_HPP

#include "call_load.hpp"
#include "fault.hpp"

#include <test_support/cluster.hpp>

#include <future>
#include <string>
#include <vector>

namespace masticshift::fault_matrix
{

/// Starts and ends faults of entries, the first endpoint, the platform and the
/// links between them. The entry under test is the first one.
class fault_injector
{
public:
    fault_injector(test_support::cluster& system, call_load& load);

    void start_fault(fault kind);

    /// Ends a fault. A first entry that was killed is not restarted here.
    void end_fault(fault kind);

    /// Waits until the operators' concurrent applies have ended.
    void await_operators();

    /// Errors of the system while faults were started or ended, for example
    /// an entry that did not restart.
    std::vector<std::string> const& failures() const;

private:
    void restart_killed_successor();
    void restart_successor();
    void require(outcome<void> const& done);
    void start_operator();
    void set_peer_links(test_support::link_state state);
    void set_platform_links(test_support::link_state state);
    void record_all_cut();
    void record_all_healed();

    test_support::cluster& system_;
    call_load& load_;
    std::vector<std::future<store::apply_answer>> operators_;
    std::vector<std::string> failures_;
};

} // namespace masticshift::fault_matrix

#endif
