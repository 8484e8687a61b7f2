#include <daemon/supervisor.hpp>

#include <core/log.hpp>
#include <core/time.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace masticshift::daemon
{

namespace
{

namespace asio = boost::asio;

constexpr auto as_values = asio::as_tuple(asio::use_awaitable);

constexpr duration initial_pause = milliseconds(100);
constexpr duration max_pause = milliseconds(5'000);

/// After a run of this length a loop counts as recovered, and its back-off
/// starts again from `initial_pause`.
constexpr duration stable_after = milliseconds(30'000);

void log_child_end(std::string const& path, std::string const& reason)
{
    boost::json::object fields;
    fields["child"] = path;
    fields["reason"] = reason;
    log_event(log_level::error, "child_ended", std::move(fields));
}

} // namespace

struct supervisor::child
{
    child_status status;
    loop body;
    bool stopped = false;
    asio::cancellation_signal cancel;
};

supervisor::supervisor(asio::any_io_executor executor, std::string name)
    : executor_(std::move(executor)), path_(std::move(name))
{
}

supervisor::~supervisor() = default;

supervisor& supervisor::add_supervisor(std::string const& name)
{
    supervisors_.push_back(
        std::make_unique<supervisor>(executor_, path_ + "/" + name));
    return *supervisors_.back();
}

void supervisor::add(std::string const& name, loop body)
{
    auto const started = std::make_shared<child>();
    started->status.path = path_ + "/" + name;
    started->body = std::move(body);
    children_.push_back(started);
    asio::co_spawn(
        executor_, run(executor_, started),
        asio::bind_cancellation_slot(started->cancel.slot(), asio::detached));
}

void supervisor::stop()
{
    for (auto child = children_.rbegin(); child != children_.rend(); ++child)
    {
        (*child)->stopped = true;
        (*child)->cancel.emit(asio::cancellation_type::terminal);
    }
    for (auto below = supervisors_.rbegin(); below != supervisors_.rend();
         ++below)
        (*below)->stop();
}

std::vector<child_status> supervisor::status() const
{
    std::vector<child_status> all;
    for (auto const& started : children_)
        all.push_back(started->status);
    for (auto const& below : supervisors_)
    {
        auto const nested = below->status();
        all.insert(all.end(), nested.begin(), nested.end());
    }
    return all;
}

asio::awaitable<void> supervisor::run(asio::any_io_executor executor,
                                      std::shared_ptr<child> started)
{
    asio::steady_timer timer(executor);
    duration pause = initial_pause;
    while (!started->stopped)
    {
        auto const started_at = steady_clock::now();
        std::string reason = "returned";
        started->status.running = true;
        try
        {
            co_await started->body();
        }
        catch (std::exception const& error)
        {
            reason = error.what();
        }
        started->status.running = false;
        if (started->stopped)
            co_return;
        log_child_end(started->status.path, reason);
        if (steady_clock::now() - started_at > stable_after)
            pause = initial_pause;
        timer.expires_after(pause);
        co_await timer.async_wait(as_values);
        pause = std::min(2 * pause, max_pause);
        ++started->status.restarts;
    }
}

} // namespace masticshift::daemon
