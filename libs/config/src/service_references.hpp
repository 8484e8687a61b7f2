#ifndef MASTICSHIFT_CONFIG_SERVICE_REFERENCES_HPP
#define MASTICSHIFT_CONFIG_SERVICE_REFERENCES_HPP

#include "read_value.hpp"
#include "toml_table.hpp"

#include <config/operator_configuration.hpp>

namespace masticshift::config
{

/// Checks the tables of a service configuration against each other: references
/// resolve, addresses differ, and dependencies have no cycle.
read_result check_references(toml_table const& root,
                             operator_configuration const& configuration);

} // namespace masticshift::config

#endif
