#ifndef MASTICSHIFT_CONFIG_SERVICE_KEYS_HPP
#define MASTICSHIFT_CONFIG_SERVICE_KEYS_HPP

#include "read_value.hpp"
#include "toml_table.hpp"

#include <config/operator_configuration.hpp>

namespace masticshift::config
{

/// Reads all tables of a service configuration and checks each value by itself.
/// References between the tables are left to `check_references`.
read_result read_service_tables(toml_table const& root,
                                operator_configuration& configuration);

} // namespace masticshift::config

#endif
