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

// One function a command, each in a file of its own.
pending_report run_check(session& calls, options const& given);
pending_report run_apply(session& calls, options const& given);
pending_report run_show(session& calls, options const& given);
pending_report run_status(session& calls, options const& given);
pending_report run_submit(session& calls, options const& given);
pending_report run_cancel(session& calls, options const& given);
pending_report run_drain(session& calls, options const& given);

/// One row of the table of commands.
struct command
{
    std::string_view name;
    std::string_view usage;
    std::string_view summary;
    /// Arguments besides the name.
    std::size_t argument_count;
    bool needs_platform;
    bool needs_entry;
    pending_report (*run)(session&, options const&);
};

std::span<command const> commands();

/// The command that the arguments name, with what it needs given. Fails with
/// `usage`.
outcome<command const*> find_command(options const& given);

std::string help_text();

} // namespace masticshift::cli

#endif
