#ifndef MASTICSHIFT_CLI_INPUT_TEXT_HPP
#define MASTICSHIFT_CLI_INPUT_TEXT_HPP

#include <core/outcome.hpp>

#include <string>

namespace masticshift::cli
{

/// Reads a whole file, or the standard input for `-`. Fails with `io_error`
/// when it cannot be read and with `body_too_large` when it is too long.
outcome<std::string> read_input(std::string const& path);

} // namespace masticshift::cli

#endif
