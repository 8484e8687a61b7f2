#ifndef MASTICSHIFT_FAULT_MATRIX_FAULT_INJECTOR_HPP
#define MASTICSHIFT_FAULT_MATRIX_FAULT_INJECTOR_HPP

#include "call_load.hpp"
#include "fault.hpp"

#include <test_support/cluster.hpp>

#include <future>
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

    /// Ends a fault. What was killed stays down: see `restart_killed`.
    void heal(fault kind);

    /// Waits for operators that are still at work.
    void await_operators();

private:
    void start_operator();
    void set_peer_links(test_support::link_state state);
    void set_platform_links(test_support::link_state state);
    void record_cut_of_all();
    void record_healed_of_all();

    test_support::cluster& system_;
    call_load& load_;
    std::vector<std::future<platform::apply_answer>> operators_;
};

} // namespace masticshift::fault_matrix

#endif
