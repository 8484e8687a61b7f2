#include "fault_control.hpp"

#include <store/vm_list.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>

namespace platform_standin
{

namespace json = boost::json;
using masticshift::failure;
using masticshift::milliseconds;
using masticshift::outcome;
using masticshift::result_code;

namespace
{

constexpr std::int64_t max_number = 1'000'000'000;

bool read_field(json::value const& value, bool& field)
{
    if (!value.is_bool())
        return false;
    field = value.as_bool();
    return true;
}

bool read_field(json::value const& value, unsigned& field)
{
    if (!value.is_int64() || value.as_int64() < 0 ||
        value.as_int64() > max_number)
        return false;
    field = static_cast<unsigned>(value.as_int64());
    return true;
}

bool read_field(json::value const& value, milliseconds& field)
{
    unsigned number = 0;
    if (!read_field(value, number))
        return false;
    field = milliseconds(number);
    return true;
}

struct field_rule
{
    std::string_view name;
    bool (*read)(json::value const&, fault_control&);
};

template <auto Member>
constexpr field_rule make_rule(std::string_view name)
{
    return {name, [](json::value const& value, fault_control& control)
            {
                return read_field(value, control.*Member);
            }};
}

constexpr std::array rules{
    make_rule<&fault_control::available>("available"),
    make_rule<&fault_control::hang>("hang"),
    make_rule<&fault_control::delay>("delay_ms"),
    make_rule<&fault_control::lose_answers>("lose_answers"),
    make_rule<&fault_control::lose_requests>("lose_requests"),
    make_rule<&fault_control::vm_lag>("vm_lag_ms")};

failure bad_control(std::string const& detail)
{
    return {result_code::malformed_request, "control: " + detail};
}

bool is_vm_list(json::value const& vms)
{
    json::object const list{{"as_of_us", 0}, {"vms", vms}};
    return masticshift::store::parse_vm_list(json::serialize(list)).has_value();
}

bool read_member(std::string_view name, json::value const& value,
                 control_change& change)
{
    if (name == "vms")
    {
        if (!is_vm_list(value))
            return false;
        change.vms = value.as_array();
        return true;
    }
    auto const rule = std::ranges::find(rules, name, &field_rule::name);
    return rule != rules.end() && rule->read(value, change.control);
}

} // namespace

outcome<control_change> parse_control(std::string_view body,
                                      fault_control current)
{
    boost::system::error_code error;
    auto const parsed = json::parse(body, error);
    if (error || !parsed.is_object())
        return bad_control("not a JSON object");
    control_change change{current, {}};
    for (auto const& member : parsed.as_object())
    {
        if (!read_member(member.key(), member.value(), change))
            return bad_control("unknown field or bad value: " +
                               std::string(member.key()));
    }
    return change;
}

} // namespace platform_standin
