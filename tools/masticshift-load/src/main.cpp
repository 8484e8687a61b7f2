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

DEFINE_string(report, "",
              "file for the report as JSON; default: standard output");
DEFINE_string(html, "", "file for the report as an HTML page");
DEFINE_string(summary, "",
              "if set, print a line with the main figures under this name "
              "on standard output");
DEFINE_string(history, "",
              "file to which the history of the calls is appended");
DEFINE_string(source, "load", "source name of the records in the history");

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

/// Differs from run to run, because entries remember the ids of earlier runs.
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

/// Prints one line with columns, to be read in a table of several runs.
void print_summary(load::load_results const& results)
{
    auto const ideal = load::ideal_messages(results.jobs, results.tasks_ok);
    auto const extra = results.messages.total() - ideal;
    auto const tasks = std::max<std::uint64_t>(results.tasks_ok, 1);
    auto const measured = results.slowdown.count();
    std::uint64_t ended = 0;
    for (auto const& [name, count] : results.ends)
        ended += count;
    std::printf(
        "%-24s ok %6zu of %6llu  slowdown mean %6.2f p99 %7.2f  "
        "added ms p50 %7.2f p99 %8.2f  extra/task %6.3f  "
        "lag p99 %5.2f\n",
        FLAGS_summary.c_str(), measured, static_cast<unsigned long long>(ended),
        results.slowdown.mean(), results.slowdown.quantile(0.99),
        results.added_ms.quantile(0.5), results.added_ms.quantile(0.99),
        extra / static_cast<double>(tasks), results.send_lag_ms.quantile(0.99));
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
    outcome<void> ended =
        failure{result_code::internal, "the load run did not finish"};
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
    if (!FLAGS_summary.empty())
        print_summary(run.results());
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
    constexpr int expected_argc = 2;
    if (argc != expected_argc)
        return fail({result_code::usage,
                     "expected exactly one argument, the scenario file"});
    return run(argv[1]);
}
