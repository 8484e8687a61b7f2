#include "platform_service.hpp"

#include <config/daemon_settings.hpp>
#include <transport/http_server.hpp>

#include <boost/asio.hpp>
#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(listen, "127.0.0.1:8001",
              "address to listen on, IP:PORT; port 0 takes a free port");
DEFINE_string(history, "", "file to append the history to, as JSON lines");

namespace
{

namespace asio = boost::asio;
namespace transport = masticshift::transport;

transport::http_response error_response(masticshift::failure const& error)
{
    transport::http_response response;
    response.status = masticshift::info_of(error.code).http_status;
    response.body = error.detail;
    return response;
}

int fail(masticshift::failure const& error)
{
    std::fprintf(stderr, "%s\n", error.detail.c_str());
    return masticshift::exit_code_of(error.code);
}

int serve(masticshift::config::socket_address const& address,
          platform_standin::platform_service& service)
{
    asio::io_context context(1);
    transport::http_server server(
        context.get_executor(), {},
        [&](transport::http_request request)
        {
            return service.handle(std::move(request));
        },
        error_response);
    auto const bound = server.listen(address.ip, address.port);
    if (!bound)
        return fail(bound.error());
    std::printf("platform_standin listens on %s:%u\n", address.ip.c_str(),
                server.port());
    std::fflush(stdout);
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait(
        [&](boost::system::error_code, int)
        {
            server.stop();
            context.stop();
        });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "stand-in of the platform for tests, with its state in memory");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto const address =
        masticshift::config::parse_socket_address(FLAGS_listen);
    if (!address)
        return fail(address.error());
    platform_standin::history_file history;
    auto const opened = history.open(FLAGS_history);
    if (!opened)
        return fail(opened.error());
    platform_standin::platform_service service(history);
    return serve(*address, service);
}
