#include "gateway_process.hpp"

#include <core/log.hpp>
#include <gateway/gateway.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <filesystem>
#include <functional>

namespace
{

namespace asio = boost::asio;
using namespace masticshift;

/// Interval of the checks whether the settings file has changed, since it may
/// change without a SIGHUP.
constexpr milliseconds file_check_interval{2'000};

/// Reloads the settings after a SIGHUP and when the modification time of the
/// file has changed.
class settings_watch
{
public:
    settings_watch(asio::io_context& context, std::string path,
                   gateway::gateway& running_gateway)
        : path_(std::move(path)),
          gateway_(running_gateway),
          hangup_signal_(context, SIGHUP),
          timer_(context)
    {
        std::error_code ignored;
        modified_at_ = std::filesystem::last_write_time(path_, ignored);
        wait_for_signal();
        wait_for_file_change();
    }

private:
    void wait_for_signal()
    {
        hangup_signal_.async_wait(
            [this](boost::system::error_code error, int)
            {
                if (error)
                    return;
                reload();
                wait_for_signal();
            });
    }

    void wait_for_file_change()
    {
        timer_.expires_after(file_check_interval);
        timer_.async_wait(
            [this](boost::system::error_code error)
            {
                if (error)
                    return;
                std::error_code unreadable;
                auto const modified_at =
                    std::filesystem::last_write_time(path_, unreadable);
                if (!unreadable && modified_at != modified_at_)
                    reload();
                wait_for_file_change();
            });
    }

    void reload()
    {
        std::error_code ignored;
        modified_at_ = std::filesystem::last_write_time(path_, ignored);
        auto settings = config::load_gateway_settings(path_);
        if (settings)
        {
            gateway_.reload(*settings);
            return;
        }
        log_event(log_level::error, "reload_refused",
                  {{"code", static_cast<int>(settings.error().code)},
                   {"detail", settings.error().detail}});
    }

    std::string path_;
    gateway::gateway& gateway_;
    asio::signal_set hangup_signal_;
    asio::steady_timer timer_;
    std::filesystem::file_time_type modified_at_;
};

} // namespace

outcome<void> serve_gateway(std::string const& path,
                            config::gateway_settings settings)
{
    if (settings.log.source.empty())
        settings.log.source = settings.gateway.name;
    configure_log(settings.log);
    // A write to a connection that a caller has closed must not end the
    // process.
    std::signal(SIGPIPE, SIG_IGN);
    // Single-threaded: the state of the gateway is not protected by locks.
    constexpr int threads = 1;
    asio::io_context context(threads);
    gateway::gateway running_gateway(context.get_executor(), settings);
    auto const started = running_gateway.start(
        [&context]
        {
            context.stop();
        });
    if (!started)
        return started.error();
    settings_watch const watch(context, path, running_gateway);
    asio::signal_set stop(context, SIGTERM, SIGINT);
    stop.async_wait(
        [&running_gateway](boost::system::error_code error, int)
        {
            if (!error)
                running_gateway.drain();
        });
    context.run();
    return {};
}
