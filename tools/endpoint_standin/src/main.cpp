#include "endpoint.hpp"

#include <config/daemon_settings.hpp>
#include <core/log.hpp>
#include <transport/http_server.hpp>

#include <boost/asio.hpp>
#include <gflags/gflags.h>

#include <cstdio>
#include <cstdlib>

DEFINE_string(
    listen, "127.0.0.1:9101",
    "addresses to listen on, IP:PORT separated by commas; one endpoint "
    "each");
DEFINE_string(name, "endpoint",
              "endpoint name in outputs; with several addresses, the port is "
              "appended");
DEFINE_uint64(slots, 8,
              "number of tasks that each endpoint runs at the same time");
DEFINE_string(
    speed, "1.0",
    "factor that run times are divided by; a list separated by commas "
    "is applied to the addresses in turn");
DEFINE_int32(run_ms, 50, "run time in ms of a task whose input has no run_ms");
DEFINE_string(history, "", "file to append the history to, as JSON lines");

namespace
{

using namespace masticshift;
using endpoint_standin::endpoint;
using endpoint_standin::endpoint_options;

namespace asio = boost::asio;

/// An endpoint and the server in front of it.
struct served_endpoint
{
    served_endpoint(asio::any_io_executor const& executor,
                    endpoint_options options)
        : instance(executor, std::move(options)),
          server(
              executor, {},
              [this](transport::http_request request)
              {
                  return instance.handle(std::move(request));
              },
              [](failure const& error)
              {
                  auto const status = info_of(error.code).http_status;
                  return transport::http_response{status, {}, error.detail};
              })
    {
    }

    endpoint instance;
    transport::http_server server;
};

std::vector<std::string> split(std::string const& list)
{
    std::vector<std::string> parts;
    std::size_t start = 0;
    while (start <= list.size())
    {
        auto const end = std::min(list.find(',', start), list.size());
        parts.push_back(list.substr(start, end - start));
        start = end + 1;
    }
    return parts;
}

endpoint_options options_of(std::string const& speed)
{
    endpoint_options options;
    options.slots = FLAGS_slots;
    options.speed = std::strtod(speed.c_str(), nullptr);
    options.run_time = milliseconds(FLAGS_run_ms);
    return options;
}

std::string name_at(config::socket_address const& address, bool is_only_one)
{
    return is_only_one ? FLAGS_name
                       : FLAGS_name + "-" + std::to_string(address.port);
}

/// Starts one endpoint and prints the address that it listens on.
outcome<std::unique_ptr<served_endpoint>> serve(asio::io_context& context,
                                                config::socket_address address,
                                                bool is_only_one,
                                                endpoint_options options)
{
    if (options.speed <= 0)
        return failure{result_code::usage, "--speed must be a number above 0"};
    auto served = std::make_unique<served_endpoint>(context.get_executor(),
                                                    std::move(options));
    auto const listening = served->server.listen(address.ip, address.port);
    if (!listening)
        return listening.error();
    address.port = served->server.port();
    served->instance.set_identity(name_at(address, is_only_one),
                                  to_string(address));
    std::printf("listening %s\n", to_string(address).c_str());
    return served;
}

outcome<std::vector<std::unique_ptr<served_endpoint>>>
serve_all(asio::io_context& context)
{
    auto const addresses = split(FLAGS_listen);
    auto const speeds = split(FLAGS_speed);
    std::vector<std::unique_ptr<served_endpoint>> all;
    for (std::size_t i = 0; i < addresses.size(); ++i)
    {
        auto const address = config::parse_socket_address(addresses[i]);
        if (!address)
            return address.error();
        auto const& speed = speeds[i % speeds.size()];
        auto served =
            serve(context, *address, addresses.size() == 1, options_of(speed));
        if (!served)
            return served.error();
        all.push_back(*std::move(served));
    }
    return all;
}

void set_up_log()
{
    log_settings settings;
    settings.source = FLAGS_name;
    settings.path = FLAGS_history;
    // Without a file the log goes to standard error, where history events would
    // only be noise.
    settings.lowest =
        FLAGS_history.empty() ? log_level::warning : log_level::info;
    configure_log(settings);
}

int run()
{
    set_up_log();
    asio::io_context context(1);
    auto const endpoints = serve_all(context);
    if (!endpoints)
    {
        std::fprintf(stderr, "%s\n", endpoints.error().detail.c_str());
        return exit_code_of(endpoints.error().code);
    }
    std::printf("ready\n");
    std::fflush(stdout);
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait(
        [&](boost::system::error_code, int)
        {
            context.stop();
        });
    context.run();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "stand-in of endpoints: runs tasks by waiting, as in docs/PLATFORM.md");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return run();
}
