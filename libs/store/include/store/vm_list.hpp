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

/// The platform's list of VMs. It lags behind reality.
struct vm_list
{
    /// Wall time of the platform, in microseconds.
    std::int64_t as_of_us = 0;
    std::vector<vm> vms;
};

/// Reads the JSON of `GET /v1/vms`. A list with any faulty row is refused
/// whole, with `platform_bad_answer`.
outcome<vm_list> parse_vm_list(std::string_view json);

} // namespace masticshift::store

#endif
