#ifndef MASTICSHIFT_STORE_VM_LIST_HPP
#define MASTICSHIFT_STORE_VM_LIST_HPP

#include <config/daemon_settings.hpp>
#include <core/outcome.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace masticshift::store
{

enum class vm_role
{
    entry,
    endpoint
};

enum class vm_state
{
    live,
    leaving
};

std::string_view name_of(vm_role role);
std::string_view name_of(vm_state state);

struct vm
{
    /// The peer address of an entry, the task address of an endpoint.
    config::socket_address address;
    std::string data_centre;
    vm_role role = vm_role::entry;
    vm_state state = vm_state::live;
};

/// The platform's list of VMs. It is updated with a delay.
struct vm_list
{
    /// Time of the list by the platform's wall clock, in microseconds.
    std::int64_t as_of_us = 0;
    std::vector<vm> vms;
};

/// Parses the JSON response to `GET /v1/vms`. Fails with `platform_bad_answer`
/// if the list or any row of it is malformed.
outcome<vm_list> parse_vm_list(std::string_view json);

} // namespace masticshift::store

#endif
