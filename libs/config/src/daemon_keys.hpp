#ifndef MASTICSHIFT_CONFIG_DAEMON_KEYS_HPP
#define MASTICSHIFT_CONFIG_DAEMON_KEYS_HPP

#include "read_value.hpp"
#include "toml_table.hpp"

#include <config/daemon_settings.hpp>

#include <string>
#include <vector>

namespace masticshift::config
{

/// Reads every table of the settings. Each key is checked by its own rule;
/// checks between keys are left to `parse_daemon_settings`.
read_result read_sections(toml_table const& root, daemon_settings& settings);

/// Every key of the settings, for example `limits.max_tasks`.
std::vector<std::string> daemon_keys();

} // namespace masticshift::config

#endif
