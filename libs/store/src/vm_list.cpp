#include <store/vm_list.hpp>

#include "json_access.hpp"

#include <array>

namespace masticshift::store
{

namespace json = boost::json;

namespace
{

template <class Enum>
struct named_value
{
    Enum value;
    std::string_view name;
};

constexpr std::array role_names{
    named_value<vm_role>{vm_role::entry, "entry"},
    named_value<vm_role>{vm_role::endpoint, "endpoint"}};

constexpr std::array state_names{
    named_value<vm_state>{vm_state::live, "live"},
    named_value<vm_state>{vm_state::leaving, "leaving"}};

template <class Enum, std::size_t Size>
std::string_view find_name(std::array<named_value<Enum>, Size> const& names,
                           Enum value)
{
    for (auto const& each : names)
    {
        if (each.value == value)
            return each.name;
    }
    return {};
}

template <class Enum, std::size_t Size>
bool read_named(json::object const& row, std::string_view key,
                std::array<named_value<Enum>, Size> const& names, Enum& value)
{
    auto const text = string_at(row, key);
    for (auto const& each : names)
    {
        if (text == each.name)
        {
            value = each.value;
            return true;
        }
    }
    return false;
}

failure bad_list(std::string const& detail)
{
    return {result_code::platform_bad_answer, "VM list: " + detail};
}

bool read_vm(json::object const& row, vm& read)
{
    auto const address = string_at(row, "address");
    auto const data_centre = string_at(row, "data_centre");
    if (!address || !data_centre)
        return false;
    auto const parsed = config::parse_socket_address(*address);
    if (!parsed)
        return false;
    read.address = *parsed;
    read.data_centre = *data_centre;
    return read_named(row, "role", role_names, read.role) &&
           read_named(row, "state", state_names, read.state);
}

} // namespace

std::string_view name_of(vm_role role)
{
    return find_name(role_names, role);
}

std::string_view name_of(vm_state state)
{
    return find_name(state_names, state);
}

outcome<vm_list> parse_vm_list(std::string_view text)
{
    auto const object = parse_object(text);
    if (!object)
        return bad_list("not a JSON object");
    auto const as_of = number_at(*object, "as_of_us");
    auto const* const rows = array_at(*object, "vms");
    if (!as_of || rows == nullptr)
        return bad_list("as_of_us or vms is missing");
    vm_list list;
    list.as_of_us = static_cast<std::int64_t>(*as_of);
    for (auto const& row : *rows)
    {
        vm read;
        if (!row.is_object() || !read_vm(row.as_object(), read))
        {
            return bad_list("row " + std::to_string(list.vms.size()) +
                            " is malformed");
        }
        list.vms.push_back(std::move(read));
    }
    return list;
}

} // namespace masticshift::store
