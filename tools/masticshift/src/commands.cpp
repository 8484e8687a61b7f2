#include "commands.hpp"

#include <algorithm>
#include <array>

namespace masticshift::cli
{

namespace
{

constexpr std::array table{
    command{"check", "check FILE [--platform IP:PORT]",
            "check a configuration file, and compare it with the one in force",
            1, false, false, run_check},
    command{"apply", "apply FILE --platform IP:PORT [--expect N]",
            "apply a configuration file as the next revision", 1, true, false,
            run_apply},
    command{"show", "show --platform IP:PORT [--revision]",
            "print the configuration in force, or its revision", 0, true, false,
            run_show},
    command{"status", "status --entry OPERATOR_ADDRESS[,...]",
            "print the status of entries", 0, false, true, run_status},
    command{"submit",
            "submit --entry CALLER_ADDRESS[,...] --service S --tasks FILE|-\n"
            "         [--timeout_ms N] [--id ID]",
            "submit a job and print its answer", 0, false, true, run_submit},
    command{"cancel", "cancel ID --entry CALLER_ADDRESS[,...]", "cancel a job",
            1, false, true, run_cancel},
    command{"drain", "drain --entry OPERATOR_ADDRESS",
            "make an entry refuse new jobs, finish the running ones and stop",
            0, false, true, run_drain}};

failure usage_failure(std::string const& detail)
{
    return {result_code::usage, detail};
}

} // namespace

std::span<command const> commands()
{
    return table;
}

outcome<command const*> find_command(options const& command_line)
{
    if (command_line.arguments.empty())
        return usage_failure("no command given");
    auto const& name = command_line.arguments.front();
    auto const found = std::ranges::find(table, name, &command::name);
    if (found == table.end())
        return usage_failure("unknown command '" + name + "'");
    auto const usage_line = "usage: masticshift " + std::string(found->usage);
    if (command_line.arguments.size() != found->argument_count + 1)
        return usage_failure(usage_line);
    if (found->needs_platform && !command_line.platform)
        return usage_failure("--platform is missing; " + usage_line);
    if (found->needs_entry && command_line.entries.empty())
        return usage_failure("--entry is missing; " + usage_line);
    return &*found;
}

std::string help_text()
{
    std::string text = "usage: masticshift COMMAND [FLAGS]\n\n";
    for (auto const& each : table)
    {
        text += "  " + std::string(each.usage) + "\n      " +
                std::string(each.summary) + "\n";
    }
    return text + "\n" + describe_flags() +
           "\nThe exit code is 0, or the hundreds digit of the result code; "
           "docs/ERRORS.md lists them.\n";
}

} // namespace masticshift::cli
