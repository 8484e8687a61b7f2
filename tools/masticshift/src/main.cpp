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

report run_command(command const& chosen, options const& given)
{
    asio::io_context context(1);
    session calls(context.get_executor());
    report result;
    asio::co_spawn(context, chosen.run(calls, given),
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
    auto const given = parse_options(arguments);
    if (!given)
        return print_report(report_of(given.error()), false);
    if (version_wanted())
    {
        std::puts("masticshift " MASTICSHIFT_VERSION);
        return 0;
    }
    if (help_wanted())
    {
        std::fputs(help_text().c_str(), stdout);
        return 0;
    }
    auto const chosen = find_command(*given);
    if (!chosen)
        return print_report(report_of(chosen.error()), given->json);
    return print_report(run_command(**chosen, *given), given->json);
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
