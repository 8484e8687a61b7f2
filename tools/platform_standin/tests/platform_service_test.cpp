#include "platform_service.hpp"

#include "transaction_body.hpp"

#include <history/codec.hpp>
#include <store/configuration_store.hpp>
#include <store/http_platform.hpp>
#include <store/timer_wait.hpp>
#include <transport/http_server.hpp>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <random>

using namespace masticshift;
using namespace platform_standin;
namespace asio = boost::asio;

namespace
{

constexpr auto loopback = "127.0.0.1";
constexpr milliseconds default_timeout{20'000};
constexpr milliseconds short_timeout{50};

/// The stand-in behind a real HTTP server, and a client.
struct fixture
{
    asio::io_context context{1};
    history_file history;
    platform_service service{history};
    transport::http_server server{context.get_executor(),
                                  {},
                                  [this](transport::http_request request)
                                  {
                                      return service.handle(std::move(request));
                                  },
                                  [](failure const&)
                                  {
                                      return transport::http_response{};
                                  }};
    transport::http_client client{context.get_executor(), {}};
    std::optional<store::http_platform> platform;

    fixture()
    {
        REQUIRE(server.listen(loopback, 0).has_value());
        set_timeout(default_timeout);
    }

    void set_timeout(milliseconds timeout)
    {
        config::socket_address const address{loopback, server.port()};
        platform.emplace(client, address, timeout);
    }

    /// Runs one coroutine to its end.
    template <class Value>
    Value run(asio::awaitable<Value> work)
    {
        std::optional<Value> result;
        std::exception_ptr problem;
        asio::co_spawn(context, std::move(work),
                       [&](std::exception_ptr const& error, Value value)
                       {
                           problem = error;
                           result = std::move(value);
                           context.stop();
                       });
        context.restart();
        context.run();
        REQUIRE_FALSE(problem);
        return std::move(*result);
    }

    unsigned control(std::string const& body)
    {
        return call("POST", "/control", body).status;
    }

    transport::http_response call(std::string const& method,
                                  std::string const& target,
                                  std::string const& body = {})
    {
        transport::http_request request{method, target, {}, body};
        auto const deadline = steady_clock::now() + default_timeout;
        auto answer = run(
            client.call(loopback, server.port(), std::move(request), deadline));
        REQUIRE(answer.has_value());
        return *answer;
    }

    store::apply_answer apply(std::string const& change_id)
    {
        store::configuration_store<store::http_platform, store::timer_wait>
            store(*platform, {}, {3, milliseconds(1), milliseconds(1)});
        return run(store.apply({change_id, "text"}, std::nullopt));
    }
};

} // namespace

TEST_CASE("a configuration is applied and read over HTTP")
{
    fixture test;
    CHECK(test.apply("a").revision == 1);
    CHECK(test.apply("b").revision == 2);
    auto const entry = test.run(test.platform->read(store::revision_key()));
    CHECK(entry->version == 2);
    CHECK(entry->value == "2");
}

TEST_CASE(
    "an apply over HTTP survives lost messages or reports an unsettled write")
{
    fixture test;
    REQUIRE(test.control(R"({"lose_answers": 1})") == 200);
    CHECK(test.apply("a").revision == 1);
    REQUIRE(test.control(R"({"lose_requests": 1})") == 200);
    CHECK(test.apply("b").revision == 2);
    REQUIRE(test.control(R"({"lose_requests": 9})") == 200);
    CHECK(test.apply("c").code == result_code::write_unsettled);
}

TEST_CASE("a platform that is down or hangs does not change the table")
{
    fixture test;
    REQUIRE(test.control(R"({"available": false})") == 200);
    CHECK(test.apply("a").code == result_code::platform_unavailable);
    REQUIRE(test.control(R"({"available": true, "hang": true})") == 200);
    test.set_timeout(short_timeout);
    CHECK(test.apply("a").code == result_code::platform_timeout);
    REQUIRE(test.control(R"({"hang": false})") == 200);
    test.set_timeout(default_timeout);
    CHECK(test.apply("a").revision == 1);
}

TEST_CASE("readers see a new VM list only after the lag")
{
    fixture test;
    auto const visible_vms = [&]
    {
        return test.run(test.platform->read_vms()).value().vms.size();
    };
    CHECK(visible_vms() == 0);
    REQUIRE(test.control(R"({"vms": [{"address": "127.0.0.1:1",
        "data_centre": "de", "role": "endpoint", "state": "live"}]})") == 200);
    CHECK(visible_vms() == 1);
    REQUIRE(test.control(R"({"vm_lag_ms": 1000000})") == 200);
    CHECK(visible_vms() == 0);
}

TEST_CASE("a stored object can be read")
{
    fixture test;
    CHECK(test.call("GET", "/v1/objects/a%2Fb").status == 404);
    CHECK(test.call("PUT", "/v1/objects/a%2Fb", "bytes").status == 200);
    CHECK(test.call("GET", "/v1/objects/a%2Fb").body == "bytes");
}

TEST_CASE("malformed calls are refused without effect")
{
    fixture test;
    for (auto const* body :
         {"", "[]", R"({"hang": 1})", R"({"delay_ms": -1})", R"({"x": 1})",
          R"({"available": false, "vms": [1]})", R"({"vms": 1})"})
        CHECK(test.control(body) == 400);
    for (auto const* body :
         {"", "{}", R"({"checks": [], "writes": [{"table": "t"}]})",
          R"({"checks": [], "writes": [{"table": 1, "key": "k",
              "value": null}]})",
          R"({"checks": [], "writes": [
              {"table": "t", "key": "k", "value": "1"},
              {"table": "t", "key": "k", "value": "2"}]})"})
        CHECK(test.call("POST", "/v1/transactions", body).status == 400);
    CHECK(test.call("GET", "/v1/table/t/k").status == 404);
    CHECK(test.call("GET", "/v1/table/t").status == 404);
    CHECK(test.call("PATCH", "/v1/vms").status == 405);
    CHECK(test.apply("a").revision == 1);
}

TEST_CASE("a transaction is applied completely or not at all")
{
    table_store store;
    store::table_key const one{"t", "one"};
    store::table_key const two{"t", "two"};
    CHECK(store.commit({{{one, 0}}, {{one, "1"}}}).versions.at(0) == 1);
    auto const result =
        store.commit({{{one, 1}, {two, 5}}, {{one, "2"}, {two, "2"}}});
    REQUIRE(result.conflicts.size() == 1);
    CHECK(result.conflicts[0].version == 0);
    CHECK(store.read(one)->value == "1");
    CHECK_FALSE(store.read(two).has_value());
}

TEST_CASE("a deleted key is absent and its versions are not reused")
{
    table_store store;
    store::table_key const key{"t", "k"};
    store.commit({{}, {{key, "1"}}});
    store.commit({{}, {{key, std::nullopt}}});
    CHECK_FALSE(store.read(key).has_value());
    CHECK(store.commit({{{key, 0}}, {{key, "2"}}}).conflicts.empty());
    CHECK(store.read(key)->version == 3);
}

TEST_CASE("the history has every committed transaction and lost response")
{
    auto const path =
        std::filesystem::temp_directory_path() /
        ("platform_standin_test_" + std::to_string(std::random_device{}()));
    {
        fixture test;
        REQUIRE(test.history.open(path.string()).has_value());
        test.control(R"({"lose_answers": 1})");
        test.apply("a");
        test.apply("a");
        test.apply("b");
        test.call("POST", "/v1/transactions",
                  R"({"checks": [], "writes": [
                      {"table": "t", "key": "k", "value": "1"}]})");
        test.control(R"({"vms": [{"address": "127.0.0.1:1",
            "data_centre": "de", "role": "endpoint", "state": "live"}]})");
        test.control(R"({"delay_ms": 0})");
        test.control(R"({"vms": [{"address": "127.0.0.1:1",
            "data_centre": "de", "role": "endpoint", "state": "leaving"}]})");
    }
    std::ifstream file(path);
    std::vector<std::string> events;
    std::vector<history::parsed_line> parsed;
    for (std::string line; std::getline(file, line);)
    {
        auto const fields = boost::json::parse(line).as_object();
        events.emplace_back(fields.at("event").as_string());
        auto content = history::parse_record_line(line);
        REQUIRE(content.has_value());
        if (*content)
            parsed.push_back(**std::move(content));
    }
    CHECK(events == std::vector<std::string>{"committed", "answer_lost",
                                             "committed", "written", "vm_state",
                                             "vm_state"});
    REQUIRE(parsed.size() == 4);
    auto const& first = std::get<history::committed>(parsed[0].content);
    CHECK(first.revision == 1);
    CHECK(first.change_id == "a");
    CHECK(parsed[0].source == "platform");
    auto const& second = std::get<history::committed>(parsed[1].content);
    CHECK(second.revision == 2);
    CHECK(second.change_id == "b");
    auto const& last = std::get<history::vm_state>(parsed[3].content);
    CHECK(last.address == "127.0.0.1:1");
    CHECK(last.state == history::vm_condition::leaving);
    std::filesystem::remove(path);
    CHECK_FALSE(history_file{}.open("/nonexistent/history").has_value());
}
