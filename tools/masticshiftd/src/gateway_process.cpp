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

/// The settings file may change without a signal.
constexpr milliseconds file_interval{2'000};

/// Reloads settings when a signal or the file's time says so.
class settings_watch
{
public:
    settings_watch(asio::io_context& context, std::string path,
                   gateway::gateway& served)
        : path_(std::move(path)),
          served_(served),
          hang_up_(context, SIGHUP),
          timer_(context)
    {
        std::error_code ignored;
        changed_ = std::filesystem::last_write_time(path_, ignored);
        wait_for_signal();
        wait_for_change();
    }

private:
    void wait_for_signal()
    {
        hang_up_.async_wait(
            [this](boost::system::error_code error, int)
            {
                if (error)
                    return;
                reload();
                wait_for_signal();
            });
    }

    void wait_for_change()
    {
        timer_.expires_after(file_interval);
        timer_.async_wait(
            [this](boost::system::error_code error)
            {
                if (error)
                    return;
                std::error_code unreadable;
                auto const time =
                    std::filesystem::last_write_time(path_, unreadable);
                if (!unreadable && time != changed_)
                    reload();
                wait_for_change();
            });
    }

    void reload()
    {
        std::error_code ignored;
        changed_ = std::filesystem::last_write_time(path_, ignored);
        auto settings = config::load_gateway_settings(path_);
        if (settings)
        {
            served_.reload(*settings);
            return;
        }
        log_event(log_level::error, "reload_refused",
                  {{"code", static_cast<int>(settings.error().code)},
                   {"detail", settings.error().detail}});
    }

    std::string path_;
    gateway::gateway& served_;
    asio::signal_set hang_up_;
    asio::steady_timer timer_;
    std::filesystem::file_time_type changed_;
};

} // namespace

outcome<void> serve_gateway(std::string const& path,
                            config::gateway_settings settings)
{
    if (settings.log.source.empty())
        settings.log.source = settings.gateway.name;
    configure_log(settings.log);
    // Writing to a connection that a caller has closed is no reason to end.
    std::signal(SIGPIPE, SIG_IGN);
    // One thread: the deciding parts need no locks.
    constexpr int threads = 1;
    asio::io_context context(threads);
    gateway::gateway served(context.get_executor(), settings);
    auto const started = served.start(
        [&context]
        {
            context.stop();
        });
    if (!started)
        return started.error();
    settings_watch const watch(context, path, served);
    asio::signal_set stop(context, SIGTERM, SIGINT);
    stop.async_wait(
        [&served](boost::system::error_code error, int)
        {
            if (!error)
                served.drain();
        });
    context.run();
    return {};
}
