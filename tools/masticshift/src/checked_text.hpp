#ifndef MASTICSHIFT_CLI_CHECKED_TEXT_HPP
#define MASTICSHIFT_CLI_CHECKED_TEXT_HPP

#include <config/operator_configuration.hpp>
#include <core/outcome.hpp>

#include <string>

namespace masticshift::cli
{

/// Reads a configuration text from the file at `path` (`-`: standard input) and
/// checks it.
outcome<config::operator_configuration>
load_checked_text(std::string const& path);

} // namespace masticshift::cli

#endif
