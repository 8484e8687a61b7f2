#ifndef MASTICSHIFT_CONFIG_SETTINGS_FILE_HPP
#define MASTICSHIFT_CONFIG_SETTINGS_FILE_HPP

#include <core/outcome.hpp>

#include <string>

namespace masticshift::config
{

/// Reads at most `max_text_bytes + 1` bytes of a file. The extra byte lets the
/// parser detect and refuse a file that is too long.
outcome<std::string> read_settings_file(std::string const& path);

} // namespace masticshift::config

#endif
