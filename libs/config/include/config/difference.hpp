#ifndef MASTICSHIFT_CONFIG_DIFFERENCE_HPP
#define MASTICSHIFT_CONFIG_DIFFERENCE_HPP

#include <config/operator_configuration.hpp>

#include <string>
#include <vector>

namespace masticshift::config
{

/// A table or key that differs between two configurations.
struct difference
{
    /// `KIND.NAME` of a table, or `KIND.NAME.KEY`.
    std::string place;
    /// The former value. Empty for an added table.
    std::string from;
    /// The new value. Empty for a removed table.
    std::string to;
};

/// The differences by kind and name: an added or removed table counts as one.
/// Defaults count as values, and comments do not count.
std::vector<difference> differences(operator_configuration const& from,
                                    operator_configuration const& to);

} // namespace masticshift::config

#endif
