#ifndef MASTICSHIFT_GATEWAY_DEPLOYMENT_HPP
#define MASTICSHIFT_GATEWAY_DEPLOYMENT_HPP

#include <gateway/gateway.hpp>
#include <test_support/gateway_standin.hpp>
#include <test_support/reserved_port.hpp>
#include <transport/http_client.hpp>

#include <boost/asio.hpp>

#include <array>
#include <cstdio>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

namespace masticshift::gateway
{

/// Gateways and the stand-in of the platform in one thread.
class deployment
{
public:
    explicit deployment(unsigned seed = 1)
        : platform_(context_.get_executor(), seed),
          client_(context_.get_executor(), {})
    {
        platform_.start_store().value();
        platform_.configure(1, milliseconds(40));
    }

    ~deployment()
    {
        gateways_.clear();
    }

    test_support::gateway_standin& platform()
    {
        return platform_;
    }

    void add_endpoints(std::string const& data_centre, int count)
    {
        for (int i = 0; i < count; ++i)
            platform_
                .add_endpoint(data_centre + std::to_string(i), data_centre, 1)
                .value();
    }

    /// `change` alters the settings before the start.
    std::size_t add_gateway(
        std::string const& data_centre, double processors,
        std::function<void(config::gateway_settings&)> const& change = {})
    {
        entries_.push_back({});
        auto& added = entries_.back();
        auto& settings = added.settings;
        settings.gateway.name = "entry" + std::to_string(entries_.size());
        settings.gateway.data_centre = data_centre;
        settings.gateway.caller_address = added.ports[0].address();
        settings.gateway.ready_address = added.ports[1].address();
        settings.gateway.peer_address = added.ports[2].address();
        settings.gateway.metrics_address = added.ports[3].address();
        settings.gateway.processors = processors;
        settings.store_address = {"127.0.0.1", platform_.store_port()};
        if (change)
            change(settings);
        gateways_.push_back(nullptr);
        start(entries_.size() - 1);
        return entries_.size() - 1;
    }

    void start(std::size_t number)
    {
        gateways_[number] = std::make_unique<gateway>(
            context_.get_executor(), entries_[number].settings);
        gateways_[number]
            ->start(
                [this, number]
                {
                    entries_[number].stopped = true;
                })
            .value();
    }

    config::socket_address const& caller_address(std::size_t number) const
    {
        return entries_[number].settings.gateway.caller_address;
    }

    config::socket_address const& peer_address(std::size_t number) const
    {
        return entries_[number].settings.gateway.peer_address;
    }

    boost::asio::any_io_executor executor()
    {
        return context_.get_executor();
    }

    gateway& at(std::size_t number)
    {
        return *gateways_[number];
    }

    bool stopped(std::size_t number) const
    {
        return entries_[number].stopped;
    }

    void run(milliseconds length)
    {
        context_.restart();
        context_.run_for(length);
    }

    /// Runs until the condition holds. False if the timeout passes first.
    bool run_until(std::function<bool()> const& condition, milliseconds timeout)
    {
        auto const end = steady_clock::now() + timeout;
        while (!condition() && steady_clock::now() < end)
            run(milliseconds(10));
        return condition();
    }

    bool run_until_ready(std::size_t number)
    {
        constexpr milliseconds ready_timeout{5'000};
        auto const end = steady_clock::now() + ready_timeout;
        while (steady_clock::now() < end)
        {
            if (ready_status(number) == 200U)
                return true;
            run(milliseconds(20));
        }
        return false;
    }

    /// The answer to a call. Status 0: not received yet, 1: the call failed.
    struct pending_answer
    {
        unsigned status = 0;
        std::string body;
        std::string retry_after;
    };

    unsigned ready_status(std::size_t number)
    {
        transport::http_request request;
        request.target = "/ready";
        return call(entries_[number].settings.gateway.ready_address, request)
            .status;
    }

    /// Body of `/status` of a gateway.
    std::string status_json(std::size_t number)
    {
        transport::http_request request;
        request.target = "/status";
        return call(entries_[number].settings.gateway.metrics_address, request)
            .body;
    }

    /// Sum of a metric of a gateway over all values of its labels.
    double metric(std::size_t number, std::string const& name)
    {
        transport::http_request request;
        request.target = "/metrics";
        std::istringstream lines(
            call(entries_[number].settings.gateway.metrics_address, request)
                .body);
        double sum = 0;
        for (std::string line; std::getline(lines, line);)
        {
            auto const end = line.find_first_of("{ ");
            if (line.substr(0, end) == name)
                sum += std::stod(line.substr(line.rfind(' ')));
        }
        return sum;
    }

    std::shared_ptr<pending_answer> submit(std::size_t number, unsigned id,
                                           int tasks = 2,
                                           std::string const& path = "/q/",
                                           std::string const& extra = "")
    {
        auto const step = R"("count":)" + std::to_string(tasks);
        return submit_step(number, id, step, path, extra);
    }

    /// `step`: the fields of the job's step that it does not share with others.
    std::shared_ptr<pending_answer> submit_step(std::size_t number, unsigned id,
                                                std::string const& step,
                                                std::string const& path = "/q/",
                                                std::string const& extra = "")
    {
        std::array<char, 17> name{};
        std::snprintf(name.data(), name.size(), "%016x", id);
        transport::http_request request;
        request.method = "POST";
        request.target = path + name.data();
        request.fields.set("Host", "jobs.example");
        request.fields.set("X-Deadline-Ms", "3000");
        request.body = R"({"best_effort":true,"spec":"s")" + extra +
                       R"(,"steps":[{)" + step +
                       R"(,"cpu":6800,"mem_mb":64,"estimate_ms":40}]})";
        auto answer = std::make_shared<pending_answer>();
        auto const address = entries_[number].settings.gateway.caller_address;
        boost::asio::co_spawn(context_, send(client_, address, request, answer),
                              boost::asio::detached);
        return answer;
    }

    std::shared_ptr<pending_answer> cancel(std::size_t number, unsigned id)
    {
        std::array<char, 17> name{};
        std::snprintf(name.data(), name.size(), "%016x", id);
        transport::http_request request;
        request.method = "DELETE";
        request.target = std::string("/q/") + name.data();
        request.fields.set("Host", "jobs.example");
        auto answer = std::make_shared<pending_answer>();
        auto const address = entries_[number].settings.gateway.caller_address;
        boost::asio::co_spawn(context_, send(client_, address, request, answer),
                              boost::asio::detached);
        return answer;
    }

private:
    struct entry_state
    {
        config::gateway_settings settings;
        std::array<test_support::reserved_port, 4> ports;
        bool stopped = false;
    };

    static boost::asio::awaitable<void>
    send(transport::http_client& client, config::socket_address address,
         transport::http_request request,
         std::shared_ptr<pending_answer> answer)
    {
        // The request keeps its own `Host` field, by which gateways find the
        // queue; the client sets the field only where it is missing.
        auto const result =
            co_await client.call(address.ip, address.port, std::move(request),
                                 steady_clock::now() + milliseconds(4'000));
        answer->status = result ? result->status : 1;
        if (result)
        {
            answer->body = result->body;
            answer->retry_after = result->fields["Retry-After"];
        }
    }

    pending_answer call(config::socket_address const& address,
                        transport::http_request const& request)
    {
        auto const answer = std::make_shared<pending_answer>();
        boost::asio::co_spawn(context_, send(client_, address, request, answer),
                              boost::asio::detached);
        run_until(
            [&]
            {
                return answer->status != 0;
            },
            milliseconds(4'500));
        return *answer;
    }

    boost::asio::io_context context_{1};
    test_support::gateway_standin platform_;
    transport::http_client client_;
    std::vector<entry_state> entries_;
    std::vector<std::unique_ptr<gateway>> gateways_;
};

} // namespace masticshift::gateway

#endif
