#ifndef MASTICSHIFT_CONFIG_SERVICE_REFERENCES_HPP
#define MASTICSHIFT_CONFIG_SERVICE_REFERENCES_HPP

#include "read_value.hpp"
#include "toml_table.hpp"

#include <config/service_text.hpp>

namespace masticshift::config
{

/// Checks what the tables of a text say about each other: references resolve,
/// addresses differ, and dependencies have no cycle.
read_result check_references(toml_table const& root, service_text const& text);

} // namespace masticshift::config

#endif
