#include "commands.hpp"

#include <boost/asio.hpp>

#include <cstdio>
#include <exception>
#include <optional>
#include <string>
#include <vector>

namespace
{

namespace asio = boost::asio;
using namespace masticshift::cli;

report run_command(command const& chosen, options const& command_line)
{
    asio::io_context context(1);
    session calls(context.get_executor());
    report result;
    asio::co_spawn(context, chosen.run(calls, command_line),
                   [&](std::exception_ptr const& error, report finished)
                   {
                       if (error)
                           std::rethrow_exception(error);
                       result = std::move(finished);
                       context.stop();
                   });
    context.run();
    return result;
}

int run(std::vector<std::string> const& arguments)
{
    auto const command_line = parse_options(arguments);
    if (!command_line)
        return print_report(report_of(command_line.error()), false);
    if (version_requested())
    {
        std::puts("masticshift " MASTICSHIFT_VERSION);
        return 0;
    }
    if (help_requested())
    {
        std::fputs(help_text().c_str(), stdout);
        return 0;
    }
    auto const chosen = find_command(*command_line);
    if (!chosen)
        return print_report(report_of(chosen.error()), command_line->json);
    return print_report(run_command(**chosen, *command_line),
                        command_line->json);
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(std::vector<std::string>(argv + 1, argv + argc));
    }
    catch (std::exception const& error)
    {
        masticshift::failure const failed{masticshift::result_code::internal,
                                          error.what()};
        return print_report(report_of(failed), false);
    }
}
