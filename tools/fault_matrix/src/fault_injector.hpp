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

/// Causes faults at the first entry, the first endpoint, the platform or the
/// links, and ends them.
class fault_injector
{
public:
    fault_injector(test_support::cluster& system, call_load& load);

    void strike(fault kind);

    /// Ends a fault. The first entry stays down when it was killed.
    void heal(fault kind);

    /// Waits for operators that are still at work.
    void await_operators();

    /// What the system failed to do while faults were caused or ended.
    std::vector<std::string> const& failures() const;

private:
    void restart_killed_successor();
    void restart_successor();
    void require(outcome<void> const& done);
    void start_operator();
    void set_peer_links(test_support::link_state state);
    void set_platform_links(test_support::link_state state);
    void record_cut_of_all();
    void record_healed_of_all();

    test_support::cluster& system_;
    call_load& load_;
    std::vector<std::future<store::apply_answer>> operators_;
    std::vector<std::string> failures_;
};

} // namespace masticshift::fault_matrix

#endif
