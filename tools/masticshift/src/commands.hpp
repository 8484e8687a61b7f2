#ifndef MASTICSHIFT_CLI_COMMANDS_HPP
#define MASTICSHIFT_CLI_COMMANDS_HPP

#include "options.hpp"
#include "report.hpp"
#include "session.hpp"

#include <boost/asio/awaitable.hpp>

#include <span>
#include <string_view>

namespace masticshift::cli
{

using pending_report = boost::asio::awaitable<report>;

// One function per command, each in a source file of its own.
pending_report run_check(session& calls, options const& command_line);
pending_report run_apply(session& calls, options const& command_line);
pending_report run_show(session& calls, options const& command_line);
pending_report run_status(session& calls, options const& command_line);
pending_report run_submit(session& calls, options const& command_line);
pending_report run_cancel(session& calls, options const& command_line);
pending_report run_drain(session& calls, options const& command_line);

/// One row of the table of commands.
struct command
{
    std::string_view name;
    std::string_view usage;
    std::string_view summary;
    /// Number of arguments after the command name.
    std::size_t argument_count;
    bool needs_platform;
    bool needs_entry;
    pending_report (*run)(session&, options const&);
};

std::span<command const> commands();

/// Finds the command that the first argument names. Fails with `usage` when it
/// is unknown or when arguments or flags that it needs are missing.
outcome<command const*> find_command(options const& command_line);

std::string help_text();

} // namespace masticshift::cli

#endif
