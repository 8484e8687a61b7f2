#ifndef MASTICSHIFT_CONFIG_SETTINGS_FILE_HPP
#define MASTICSHIFT_CONFIG_SETTINGS_FILE_HPP

#include <core/outcome.hpp>

#include <string>

namespace masticshift::config
{

/// Reads a text file, one byte more than a text may have, so that a longer one
/// is seen.
outcome<std::string> read_settings_file(std::string const& path);

} // namespace masticshift::config

#endif
