#include "gateway_process.hpp"

#include <config/daemon_settings.hpp>
#include <config/gateway_settings.hpp>
#include <core/log.hpp>
#include <daemon/entry.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

DEFINE_string(settings, "",
              "settings file (TOML); default: the path in the environment "
              "variable MASTICSHIFT_CONFIG");
DEFINE_bool(check, false, "check the settings and exit");

namespace
{

namespace asio = boost::asio;
using namespace masticshift;

int report(failure const& error)
{
    std::cerr << "masticshiftd: " << static_cast<int>(error.code) << " "
              << error << "\n"
              << info_of(error.code).advice << "\n";
    return exit_code_of(error.code);
}

int run(config::daemon_settings settings)
{
    // Single-threaded: the state of the entry is not protected by locks.
    constexpr int threads = 1;
    asio::io_context context(threads);
    daemon::entry entry(context.get_executor(), std::move(settings));
    auto const started = entry.start(
        [&context]
        {
            context.stop();
        });
    if (!started)
        return report(started.error());
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait(
        [&entry](boost::system::error_code error, int)
        {
            if (!error)
                entry.drain();
        });
    std::cout << "ready" << std::endl;
    context.run();
    return exit_code_of(result_code::ok);
}

int run_entry(std::string const& path)
{
    auto settings = config::load_daemon_settings(path);
    if (!settings)
        return report(settings.error());
    auto const checked = daemon::check_settings(*settings);
    if (!checked)
        return report(checked.error());
    if (FLAGS_check)
        return exit_code_of(result_code::ok);
    if (settings->log.source.empty())
        settings->log.source = config::to_string(settings->entry.peer_address);
    configure_log(settings->log);
    return run(std::move(*settings));
}

int run_gateway(std::string const& path)
{
    auto settings = config::load_gateway_settings(path);
    if (!settings)
        return report(settings.error());
    if (FLAGS_check)
        return exit_code_of(result_code::ok);
    auto const served = serve_gateway(path, std::move(*settings));
    return served ? exit_code_of(result_code::ok) : report(served.error());
}

/// The path of the settings file from `--settings` or else MASTICSHIFT_CONFIG.
/// Empty: neither is set.
std::string settings_path()
{
    if (!FLAGS_settings.empty())
        return FLAGS_settings;
    auto const* const named = std::getenv("MASTICSHIFT_CONFIG");
    return named == nullptr ? std::string() : std::string(named);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "runs one entry or gateway of the masticshift dispatcher");
    gflags::SetVersionString(MASTICSHIFT_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto const path = settings_path();
    if (path.empty())
        return report({result_code::usage, "no settings file: --settings and "
                                           "MASTICSHIFT_CONFIG are missing"});
    return config::is_gateway_settings_file(path) ? run_gateway(path)
                                                  : run_entry(path);
}
