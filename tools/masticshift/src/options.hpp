#ifndef MASTICSHIFT_CLI_OPTIONS_HPP
#define MASTICSHIFT_CLI_OPTIONS_HPP

#include <config/daemon_settings.hpp>
#include <core/outcome.hpp>
#include <core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace masticshift::cli
{

/// The command line, parsed.
struct options
{
    /// The command name and its arguments, without flags.
    std::vector<std::string> arguments;
    bool json = false;
    std::optional<config::socket_address> platform;
    std::vector<config::socket_address> entries;
    std::optional<std::uint64_t> expected_revision;
    std::string change_id;
    bool revision_only = false;
    std::string service;
    std::string tasks_path;
    std::string id;
    /// 0: the timeout of the service applies.
    milliseconds timeout{0};
};

/// Parses the arguments after the program's name. Fails with `usage`.
outcome<options> parse_options(std::vector<std::string> const& arguments);

bool help_requested();
bool version_requested();

/// The flags with their descriptions, one per line.
std::string describe_flags();

} // namespace masticshift::cli

#endif
