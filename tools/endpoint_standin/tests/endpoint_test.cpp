#include "endpoint.hpp"

#include <core/log.hpp>

#include <boost/asio.hpp>
#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::endpoint_standin;
using transport::http_request;
using transport::http_response;

namespace asio = boost::asio;

namespace
{

/// One endpoint and its responses to the requests, in the order of sending.
struct fixture
{
    explicit fixture(std::size_t slots = 8)
        : instance(context.get_executor(),
                   {"e", "127.0.0.1:1", slots, 1, milliseconds(0)})
    {
        log_settings quiet;
        quiet.lowest = log_level::error;
        configure_log(quiet);
    }

    std::size_t send(http_request request)
    {
        auto const index = responses.size();
        responses.emplace_back();
        asio::co_spawn(context, instance.handle(std::move(request)),
                       [this, index](std::exception_ptr const&,
                                     endpoint::maybe_response response)
                       {
                           responses[index] = std::move(response);
                       });
        context.restart();
        context.poll();
        return index;
    }

    std::size_t post(std::string target, std::string body,
                     std::string const& task = {})
    {
        http_request request;
        request.method = "POST";
        request.target = std::move(target);
        request.body = std::move(body);
        request.fields.set("Masticshift-Task", task);
        return send(std::move(request));
    }

    std::size_t run(std::string const& task, std::string input = "{}")
    {
        return post("/v1/tasks/stock", std::move(input), task);
    }

    void control(std::string body)
    {
        auto const sent = post("/control", std::move(body));
        REQUIRE(status(sent) == 200);
    }

    /// Runs handlers until the response has arrived.
    http_response const& wait_for(std::size_t sent)
    {
        while (!responses[sent] && context.run_one() > 0)
            ;
        REQUIRE(responses[sent]);
        REQUIRE(*responses[sent]);
        return **responses[sent];
    }

    unsigned status(std::size_t sent)
    {
        return wait_for(sent).status;
    }

    unsigned recover(std::string const& task)
    {
        http_request request;
        request.target = "/v1/answers?task=" + transport::percent_encode(task);
        return status(send(std::move(request)));
    }

    asio::io_context context;
    endpoint instance;
    std::vector<std::optional<endpoint::maybe_response>> responses;
};

constexpr auto long_run = R"({"run_ms": 3600000})";

} // namespace

TEST_CASE("the output echoes the input and names its task")
{
    fixture f;
    auto const json = f.wait_for(f.run("i/0/0", R"({"sku":1.50})"));
    CHECK(json.body == R"({"echo":{"sku":1.50},"endpoint":"e"})");
    CHECK(json.fields["Masticshift-Task"] == "i/0/0");
    CHECK(f.wait_for(f.run("i/1/0", "raw\n")).body == "raw\n");
    CHECK(f.status(f.run("no task name")) == 400);
}

TEST_CASE("a task without a free slot is refused, also when it is sent again")
{
    fixture f(1);
    auto const first = f.run("i/0/0", long_run);
    auto const second = f.wait_for(f.run("i/1/0"));
    CHECK(second.status == 503);
    CHECK(second.fields["Masticshift-Not-Run"] == "true");
    f.post("/v1/cancellations", R"({"tasks": ["i/0/0"]})");
    CHECK(f.status(first) == 500);
    CHECK(f.status(f.run("i/1/0")) == 503);
    CHECK(f.status(f.run("i/1/1")) == 200);
}

TEST_CASE("tasks cancelled or reported as not run never start later")
{
    fixture f;
    f.post("/v1/cancellations", R"({"tasks": ["i/0/0", "i/1/0"]})");
    CHECK(f.status(f.run("i/0/0")) == 503);
    CHECK(f.status(f.run("i/0/1")) == 200);
    CHECK(f.recover("i/2/0") == 404);
    CHECK(f.status(f.run("i/2/0")) == 503);
    CHECK(f.status(f.post("/v1/cancellations", "{}")) == 400);
}

TEST_CASE("the result of a lost response can be queried")
{
    fixture f;
    f.control(R"({"close_after_write": 1, "silent_after_write": 1})");
    auto const silent = f.run("i/0/0");
    auto const closed = f.run("i/1/0");
    auto const running = f.run("i/2/0", long_run);
    while (!f.responses[closed] && f.context.run_one() > 0)
        ;
    REQUIRE(f.responses[closed]);
    CHECK_FALSE(f.responses[closed]->has_value());
    CHECK_FALSE(f.responses[silent]);
    CHECK_FALSE(f.responses[running]);
    CHECK(f.recover("i/0/0") == 200);
    CHECK(f.recover("i/1/0") == 200);
    CHECK(f.recover("i/2/0") == 202);
}

TEST_CASE("control makes tasks fail, be refused, hang or get crossed answers")
{
    fixture f;
    f.control(R"({"fail": true})");
    CHECK(f.status(f.run("i/0/0", long_run)) == 500);
    f.control(R"({"fail": false, "refuse": true})");
    CHECK(f.status(f.run("i/1/0")) == 503);
    f.control(R"({"refuse": false, "cross_answers": 1})");
    CHECK(f.wait_for(f.run("i/2/0")).fields["Masticshift-Task"] == "i/0/0");
    CHECK(f.wait_for(f.run("i/3/0")).fields["Masticshift-Task"] == "i/3/0");
    f.control(R"({"hang": true})");
    auto const hung = f.run("i/4/0");
    f.control(R"({"hang": false})");
    CHECK(f.status(f.run("i/5/0")) == 200);
    CHECK_FALSE(f.responses[hung]);
    CHECK(f.recover("i/4/0") == 202);
}

TEST_CASE("control refuses unknown fields and bad values")
{
    CHECK(change({}, R"({"speed": 0})").has_error());
    CHECK(change({}, R"({"speeed": 1})").has_error());
    CHECK(change({}, R"({"fail": 1})").has_error());
    CHECK(change({}, R"({"straggle_ms": -1})").has_error());
    CHECK(change({}, "[]").has_error());
    auto const changed = change({}, R"({"speed": 0.5, "straggle_ms": 7})");
    REQUIRE(changed.has_value());
    CHECK(changed->straggle == milliseconds(7));
}

TEST_CASE("the numbers of kept results and refusals are bounded")
{
    task_table table({2, 2});
    for (std::string const task : {"i/0/0", "i/1/0", "i/2/0"})
    {
        table.start(task, [] {});
        table.end(task, {});
        table.refuse(task + "1");
    }
    CHECK(table.running() == 0);
    CHECK(table.result_of("i/0/0") == nullptr);
    CHECK(table.result_of("i/2/0") != nullptr);
    CHECK_FALSE(table.is_refused("i/0/01"));
    CHECK(table.is_refused("i/2/01"));
}
