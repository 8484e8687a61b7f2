#include "load_run.hpp"
#include "report_html.hpp"
#include "report_json.hpp"

#include <core/log.hpp>

#include <boost/asio.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <random>

DEFINE_string(report, "", "file for the result as JSON; standard output else");
DEFINE_string(html, "", "file for the result as a page");
DEFINE_string(history, "", "file that the callers' history is appended to");
DEFINE_string(source, "load", "name of the callers in the history");

namespace
{

using namespace masticshift;

namespace asio = boost::asio;

int fail(failure const& error)
{
    std::fprintf(stderr, "masticshift-load: %d %s\n",
                 static_cast<int>(error.code), error.detail.c_str());
    return exit_code_of(error.code);
}

void set_up_log()
{
    log_settings settings;
    settings.source = FLAGS_source;
    settings.path = FLAGS_history;
    settings.lowest =
        FLAGS_history.empty() ? log_level::warning : log_level::info;
    configure_log(settings);
}

/// Differs from run to run, since entries remember ids.
std::string make_nonce_prefix()
{
    std::random_device source;
    std::array<char, 20> text{};
    std::snprintf(text.data(), text.size(), "%08x%08x", source(), source());
    return text.data();
}

outcome<void> write_file(std::string const& path, std::string const& text)
{
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    file << text;
    file.close();
    if (!file)
        return failure{result_code::io_error, path + ": cannot be written"};
    return boost::system::in_place_value;
}

outcome<void> write_reports(load::load_results const& results,
                            std::string const& title)
{
    auto const text = boost::json::serialize(load::to_json(results)) + "\n";
    outcome<void> written;
    if (FLAGS_report.empty())
        std::fputs(text.c_str(), stdout);
    else
        written = write_file(FLAGS_report, text);
    if (written && !FLAGS_html.empty())
        written = write_file(FLAGS_html, load::to_html(results, title));
    return written;
}

int run(std::string const& path)
{
    auto const plan = load::load_scenario(path);
    if (!plan)
        return fail(plan.error());
    set_up_log();
    asio::io_context context(1);
    load::load_run run(context.get_executor(), *plan,
                       {make_nonce_prefix(), !FLAGS_history.empty()});
    outcome<void> ended = failure{result_code::internal, "did not run"};
    asio::co_spawn(context, run.run(),
                   [&](std::exception_ptr const& thrown, outcome<void> result)
                   {
                       if (thrown)
                           std::rethrow_exception(thrown);
                       ended = std::move(result);
                       context.stop();
                   });
    context.run();
    if (!ended)
        return fail(ended.error());
    auto const written = write_reports(run.results(), path);
    return written ? EXIT_SUCCESS : fail(written.error());
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("masticshift-load SCENARIO.toml\n"
                            "Sends open-loop load to entries and reports "
                            "response times and messages.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    constexpr int arguments = 2;
    if (argc != arguments)
        return fail({result_code::usage, "one scenario has to be given"});
    return run(argv[1]);
}
