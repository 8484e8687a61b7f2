#ifndef MASTICSHIFT_DAEMON_TESTS_RUNNER_FIXTURE_HPP
#define MASTICSHIFT_DAEMON_TESTS_RUNNER_FIXTURE_HPP

#include "job_runner.hpp"

#include <config/operator_configuration.hpp>
#include <placement/any_engine.hpp>
#include <transport/http_client.hpp>
#include <transport/http_server.hpp>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace runner_test
{

namespace asio = boost::asio;
using namespace masticshift;
using namespace masticshift::daemon;
using transport::http_request;
using transport::http_response;

constexpr auto loopback = "127.0.0.1";
/// Fails a test that waits longer than this.
constexpr milliseconds wait_timeout{20'000};

using reply = asio::awaitable<std::optional<http_response>>;

inline http_response answer_to(http_request const& request,
                               std::string body = "1")
{
    http_response response;
    response.fields.set("Masticshift-Task", request.fields["Masticshift-Task"]);
    response.body = std::move(body);
    return response;
}

inline http_response refuse_not_run(http_request const& request)
{
    auto response = answer_to(request);
    response.status = 503;
    response.fields.set("Masticshift-Not-Run", "true");
    return response;
}

/// A stand-in of an endpoint on a free port. A function of the test responds to
/// tasks and to requests for their results.
class fake_endpoint
{
public:
    using request_handler = std::function<reply(http_request)>;

    fake_endpoint(asio::any_io_executor const& executor,
                  request_handler responds)
        : handler_(std::move(responds)),
          never_(executor, asio::steady_timer::time_point::max()),
          server_(
              executor, {},
              [this](http_request request)
              {
                  return handle(std::move(request));
              },
              [](failure const&)
              {
                  return http_response();
              })
    {
        REQUIRE(server_.listen(loopback, 0));
    }

    std::uint16_t port() const
    {
        return server_.port();
    }

    unsigned connections() const
    {
        return server_.connections();
    }

    void stop()
    {
        server_.stop();
    }

    /// Never responds.
    reply never_respond()
    {
        co_await never_.async_wait(asio::as_tuple(asio::use_awaitable));
        co_return std::nullopt;
    }

    /// Labels of the received tasks, in order.
    std::vector<std::string> tasks;
    /// Labels of each received cancellation.
    std::vector<std::vector<std::string>> cancellations;
    /// Requests for the result of a task.
    unsigned answer_queries = 0;

private:
    reply handle(http_request request)
    {
        if (request.target.starts_with("/v1/cancellations"))
        {
            take_cancellation(request);
            co_return http_response();
        }
        if (request.target.starts_with("/v1/answers"))
            ++answer_queries;
        else
            tasks.emplace_back(request.fields["Masticshift-Task"]);
        co_return co_await handler_(std::move(request));
    }

    void take_cancellation(http_request const& request)
    {
        std::vector<std::string> labels;
        auto const body = boost::json::parse(request.body);
        for (auto const& label : body.at("tasks").as_array())
            labels.emplace_back(label.as_string());
        cancellations.push_back(std::move(labels));
    }

    request_handler handler_;
    asio::steady_timer never_;
    transport::http_server server_;
};

/// A job runner for the service `echo`, whose endpoints are set by `use`.
struct fixture
{
    explicit fixture(transport::http_client_limits limits = {},
                     unsigned max_attempts = 16)
        : client(context.get_executor(), limits),
          engine(make_engine(max_attempts)),
          runner(context.get_executor(), engine, client, metrics, make_hooks())
    {
    }

    static placement::any_engine make_engine(unsigned max_attempts)
    {
        placement::engine_settings settings;
        settings.address = "self";
        settings.data_centre = "dc";
        settings.max_attempts = max_attempts;
        return *placement::make_engine("lending", settings);
    }

    job_runner::hooks make_hooks()
    {
        job_runner::hooks hooks;
        hooks.ended = [this](job&)
        {
            ++ended;
        };
        hooks.borrow = [](placement::borrow_request const&) {};
        hooks.give_back = [](placement::returned_loans const&) {};
        return hooks;
    }

    void use(std::vector<std::uint16_t> const& ports, unsigned slots = 4)
    {
        config::operator_configuration text;
        text.data_centres["dc"].name = "dc";
        auto& service = text.services["echo"];
        service.name = "echo";
        service.run_time = milliseconds(1);
        for (auto const port : ports)
        {
            auto const name = "e" + std::to_string(port);
            text.endpoints[name] = {name, loopback, port, "dc", slots};
            service.endpoints.push_back(name);
        }
        engine.configure(text, steady_clock::now());
        placement::live_entry self;
        self.address = "self";
        self.data_centre = "dc";
        engine.set_entries({self}, steady_clock::now());
    }

    job_ptr start(std::size_t tasks, milliseconds timeout = wait_timeout)
    {
        submission submitted;
        submitted.service = "echo";
        submitted.tasks.resize(tasks);
        return start(std::move(submitted), timeout);
    }

    job_ptr start_request(bool idempotent)
    {
        submission submitted;
        submitted.kind = homes::submission_kind::request;
        submitted.service = "echo";
        submitted.idempotent = idempotent;
        submitted.tasks.resize(1);
        return start(std::move(submitted), wait_timeout);
    }

    job_ptr start(submission submitted, milliseconds timeout)
    {
        auto const now = steady_clock::now();
        auto started =
            std::make_shared<job>(context.get_executor(), std::move(submitted));
        started->id_text = "id" + std::to_string(++last_id);
        started->recoverable = recoverable;
        started->admitted = now;
        started->deadline = now + timeout;
        runner.start(started, now);
        return started;
    }

    /// Runs handlers until the condition holds.
    void run_until(std::function<bool()> const& holds)
    {
        auto const until = steady_clock::now() + wait_timeout;
        while (!holds())
        {
            REQUIRE(steady_clock::now() < until);
            context.restart();
            context.run_one_for(wait_timeout);
        }
    }

    void run_until_ended(job_ptr const& watched)
    {
        run_until(
            [&]
            {
                return watched->has_ended();
            });
    }

    asio::io_context context;
    entry_metrics metrics;
    transport::http_client client;
    placement::any_engine engine;
    job_runner runner;
    bool recoverable = false;
    unsigned ended = 0;
    unsigned last_id = 0;
};

inline bool has_output(job const& ended)
{
    return ended.answer->body.find("output") != std::string::npos;
}

} // namespace runner_test

#endif
