#include "fault_injector.hpp"

#include <csignal>

namespace masticshift::fault_matrix
{

using test_support::link_state;

namespace
{

/// Index of the other entry in the data centre of the first one. It answers for
/// the first entry when that one stops.
constexpr std::size_t successor = 2;

constexpr milliseconds kill_timeout{5'000};

} // namespace

fault_injector::fault_injector(test_support::cluster& system, call_load& load)
    : system_(system), load_(load)
{
}

void fault_injector::start_fault(fault kind)
{
    auto& entry = system_.entries().front();
    auto& endpoint = system_.endpoints().front();
    switch (kind)
    {
    case fault::kill_entry:
        system_.record_entry_cut(0);
        entry.process.kill();
        break;
    case fault::freeze_entry:
        system_.record_entry_cut(0);
        entry.process.signal(SIGSTOP);
        break;
    case fault::kill_successor:
        system_.record_entry_cut(successor);
        system_.entries().at(successor).process.kill();
        break;
    case fault::freeze_successor:
        system_.record_entry_cut(successor);
        system_.entries().at(successor).process.signal(SIGSTOP);
        break;
    case fault::drain_successor:
        system_.entries().at(successor).process.signal(SIGTERM);
        break;
    case fault::restart_without_platform:
        record_all_cut();
        system_.control_platform(R"({"available": false})");
        restart_killed_successor();
        break;
    case fault::kill_endpoint:
        endpoint.process.kill();
        break;
    case fault::freeze_endpoint:
        endpoint.process.signal(SIGSTOP);
        break;
    case fault::cut_endpoint:
        endpoint.link->set(link_state::cut);
        break;
    case fault::cut_peers:
        set_peer_links(link_state::cut);
        break;
    case fault::cut_peers_one_way:
        // Peers cannot reach this entry, but it can reach them.
        entry.peer_link->set(link_state::cut);
        break;
    case fault::cut_platform:
        entry.platform_link->set(link_state::cut);
        break;
    case fault::isolate_entry:
        system_.record_entry_cut(0);
        entry.platform_link->set(link_state::cut);
        set_peer_links(link_state::cut);
        break;
    case fault::silent_endpoint:
        endpoint.link->set(link_state::silent);
        break;
    case fault::silent_peers:
        set_peer_links(link_state::silent);
        break;
    case fault::silent_platform:
        set_platform_links(link_state::silent);
        break;
    case fault::platform_down:
        record_all_cut();
        system_.control_platform(R"({"available": false})");
        break;
    case fault::platform_slow:
        system_.control_platform(R"({"delay_ms": 300})");
        break;
    case fault::platform_loses_answers:
        system_.control_platform(R"({"lose_answers": 1})");
        break;
    case fault::two_operators:
        start_operator();
        break;
    case fault::endpoint_fails_all:
        system_.control_endpoint(0, R"({"fail": true})");
        break;
    case fault::stragglers:
        system_.control_endpoint(
            0, R"({"straggle_every": 3, "straggle_ms": 800})");
        break;
    case fault::cancel_wave:
        load_.cancel_all();
        break;
    case fault::endpoint_leaves:
        system_.set_vm_list(true);
        break;
    case fault::endpoint_leaves_unseen:
        // The only entry that can still read the VM list is one that no row
        // stops.
        entry.platform_link->set(link_state::cut);
        system_.entries().at(successor).platform_link->set(link_state::cut);
        system_.set_vm_list(true);
        break;
    case fault::crossed_answers:
        system_.control_endpoint(0, R"({"cross_answers": 5})");
        break;
    case fault::close_after_write:
        system_.control_endpoint(0, R"({"close_after_write": 5})");
        break;
    case fault::silent_after_write:
        system_.control_endpoint(0, R"({"silent_after_write": 5})");
        break;
    }
    if (info_of(kind).applies_configuration)
        start_operator();
}

void fault_injector::end_fault(fault kind)
{
    auto& entry = system_.entries().front();
    auto& endpoint = system_.endpoints().front();
    switch (kind)
    {
    case fault::freeze_entry:
        entry.process.signal(SIGCONT);
        system_.record_entry_healed(0);
        break;
    case fault::kill_successor:
        restart_successor();
        system_.record_entry_healed(successor);
        break;
    case fault::freeze_successor:
        system_.entries().at(successor).process.signal(SIGCONT);
        system_.record_entry_healed(successor);
        break;
    case fault::drain_successor:
        require(system_.await_stop(system_.entries().at(successor)));
        restart_successor();
        break;
    case fault::freeze_endpoint:
        endpoint.process.signal(SIGCONT);
        break;
    case fault::cut_endpoint:
    case fault::silent_endpoint:
        endpoint.link->set(link_state::passing);
        break;
    case fault::cut_peers:
    case fault::cut_peers_one_way:
    case fault::silent_peers:
        set_peer_links(link_state::passing);
        break;
    case fault::cut_platform:
    case fault::silent_platform:
        set_platform_links(link_state::passing);
        break;
    case fault::isolate_entry:
        set_platform_links(link_state::passing);
        set_peer_links(link_state::passing);
        system_.record_entry_healed(0);
        break;
    case fault::platform_down:
    case fault::restart_without_platform:
        system_.control_platform(R"({"available": true})");
        record_all_healed();
        break;
    case fault::platform_slow:
        system_.control_platform(R"({"delay_ms": 0})");
        break;
    case fault::endpoint_fails_all:
        system_.control_endpoint(0, R"({"fail": false})");
        break;
    case fault::stragglers:
        system_.control_endpoint(0, R"({"straggle_every": 0})");
        break;
    case fault::endpoint_leaves:
        system_.set_vm_list(false);
        break;
    case fault::endpoint_leaves_unseen:
        set_platform_links(link_state::passing);
        system_.set_vm_list(false);
        break;
    default:
        break;
    }
}

void fault_injector::restart_killed_successor()
{
    system_.entries().at(successor).process.kill();
    system_.entries().at(successor).process.wait(kill_timeout);
    restart_successor();
}

void fault_injector::restart_successor()
{
    require(system_.restart_entry(successor));
}

void fault_injector::require(outcome<void> const& done)
{
    if (!done)
        failures_.push_back(done.error().detail);
}

std::vector<std::string> const& fault_injector::failures() const
{
    return failures_;
}

void fault_injector::await_operators()
{
    for (auto& each : operators_)
        each.wait();
    operators_.clear();
}

void fault_injector::start_operator()
{
    operators_.push_back(std::async(std::launch::async,
                                    [this]
                                    {
                                        return system_.apply();
                                    }));
}

void fault_injector::set_peer_links(link_state state)
{
    for (auto& entry : system_.entries())
        entry.peer_link->set(state);
}

void fault_injector::set_platform_links(link_state state)
{
    for (auto& entry : system_.entries())
        entry.platform_link->set(state);
}

void fault_injector::record_all_cut()
{
    for (std::size_t i = 0; i < system_.entries().size(); ++i)
        system_.record_entry_cut(i);
}

void fault_injector::record_all_healed()
{
    for (std::size_t i = 0; i < system_.entries().size(); ++i)
        system_.record_entry_healed(i);
}

} // namespace masticshift::fault_matrix
