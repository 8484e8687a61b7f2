#ifndef MASTICSHIFT_CLI_TESTS_FAKE_ENTRY_HPP
#define MASTICSHIFT_CLI_TESTS_FAKE_ENTRY_HPP

#include <config/daemon_settings.hpp>
#include <transport/http_server.hpp>

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace masticshift::cli
{

/// An entry that returns planned answers in the order of the calls of `plan`
/// and `plan_disconnect`.
class fake_entry
{
public:
    fake_entry(boost::asio::io_context& context, std::string home)
        : home_(std::move(home)),
          server_(
              context.get_executor(), {},
              [this](transport::http_request request)
              {
                  return answer(std::move(request));
              },
              [](failure const&)
              {
                  return transport::http_response{};
              })
    {
        listening_ = server_.listen("127.0.0.1", 0).has_value();
    }

    config::socket_address address() const
    {
        return {"127.0.0.1", server_.port()};
    }

    bool is_listening() const
    {
        return listening_;
    }

    void stop()
    {
        server_.stop();
    }

    void plan(result_code code, ran_state ran)
    {
        boost::json::object const body{{"code", static_cast<int>(code)},
                                       {"name", name_of(code)},
                                       {"ran", name_of(ran)}};
        planned_.push_back(boost::json::serialize(body));
    }

    /// Plans that the connection is closed without a response.
    void plan_disconnect()
    {
        planned_.push_back(std::nullopt);
    }

    bool ready = true;
    /// Bodies, and methods with targets, of the calls about jobs.
    std::vector<std::string> bodies;
    std::vector<std::string> targets;

private:
    boost::asio::awaitable<std::optional<transport::http_response>>
    answer(transport::http_request request)
    {
        transport::http_response response;
        if (request.target == "/v1/home")
        {
            response.body = boost::json::serialize(
                boost::json::object{{"home", home_}, {"ready", ready}});
            co_return response;
        }
        bodies.push_back(request.body);
        targets.push_back(request.method + " " + request.target);
        if (planned_.empty())
            co_return std::nullopt;
        auto const next = planned_.front();
        planned_.pop_front();
        if (!next)
            co_return std::nullopt;
        response.body = *next;
        co_return response;
    }

    std::string home_;
    transport::http_server server_;
    bool listening_ = false;
    std::deque<std::optional<std::string>> planned_;
};

} // namespace masticshift::cli

#endif
