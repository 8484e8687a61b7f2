#ifndef MASTICSHIFT_CONFIG_KEY_RULE_HPP
#define MASTICSHIFT_CONFIG_KEY_RULE_HPP

#include "read_value.hpp"
#include "toml_table.hpp"

#include <algorithm>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>

namespace masticshift::config
{

enum class presence
{
    optional,
    required
};

/// How one key of a table is checked and read into a `Target`.
template <class Target>
struct key_rule
{
    std::string_view name;
    presence need;
    value_rule rule;
    read_result (*read)(Target&, toml_value const&, value_rule const&);
};

template <class Target>
using key_rules = std::span<key_rule<Target> const>;

template <class Member>
struct member_traits;

template <class Target, class Value>
struct member_traits<Value Target::*>
{
    using target = Target;
};

template <auto Member>
using target_of = typename member_traits<decltype(Member)>::target;

/// The rule of a key that is read into one data member.
template <auto Member>
constexpr key_rule<target_of<Member>>
member_key(std::string_view name, presence need, value_rule rule = {})
{
    return {name, need, rule,
            [](target_of<Member>& target, toml_value const& value,
               value_rule const& checked)
            {
                return read_value(value, checked, target.*Member);
            }};
}

template <class Target>
std::string names_of(key_rules<Target> rules)
{
    std::string names;
    for (auto const& rule : rules)
        names += (names.empty() ? "" : ", ") + std::string(rule.name);
    return names;
}

/// Refuses a table with a key that has no rule.
template <class Target>
read_result check_keys(toml_table const& table, key_rules<Target> rules)
{
    for (auto&& [key, node] : *table.table)
    {
        if (std::ranges::find(rules, key.str(), &key_rule<Target>::name) ==
            rules.end())
        {
            return refuse({table.origin, table.path, &node},
                          result_code::config_unknown_key,
                          "unknown key '" + std::string(key.str()) +
                              "'; known keys are " + names_of<Target>(rules));
        }
    }
    return {};
}

/// Reads a table by its rules. An absent table counts as an empty one.
template <class Target>
read_result read_table(toml_table const& table,
                       std::type_identity_t<key_rules<Target>> rules,
                       Target& target)
{
    if (table.table != nullptr)
        BOOST_LEAF_CHECK(check_keys<Target>(table, rules));
    for (auto const& rule : rules)
    {
        auto const* const node =
            table.table == nullptr ? nullptr : table.table->get(rule.name);
        auto const path = table.path + "." + std::string(rule.name);
        if (node != nullptr)
        {
            BOOST_LEAF_CHECK(
                rule.read(target, {table.origin, path, node}, rule.rule));
        }
        else if (rule.need == presence::required)
        {
            return refuse(table.origin, table.line(),
                          result_code::config_missing_key,
                          path + " is missing");
        }
    }
    return {};
}

} // namespace masticshift::config

#endif
