#include "answer.hpp"
#include "job.hpp"
#include "retry_budget.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::daemon;

namespace
{

namespace json = boost::json;

job make_job(boost::asio::io_context& context, std::size_t tasks)
{
    job made(context.get_executor(), submission());
    made.tasks.resize(tasks);
    return made;
}

} // namespace

TEST_CASE("an error answer has the documented fields")
{
    auto const answer = make_error_answer("a\"b", result_code::overloaded,
                                          ran_state::not_run, "no \"room\"\n");
    CHECK(answer->http_status == 503);
    auto const body = json::parse(answer->body).as_object();
    CHECK(body.at("id") == "a\"b");
    CHECK(body.at("code") == 200);
    CHECK(body.at("name") == "overloaded");
    CHECK(body.at("ran") == "not_run");
    CHECK(body.at("detail") == "no \"room\"\n");
}

TEST_CASE("a job's answer holds each output as JSON, in order")
{
    std::vector<std::string> const outputs{to_json_value(R"({"a":1})"),
                                           to_json_value("plain \"text\""),
                                           to_json_value("")};
    auto const answer = make_job_answer("id\\", outputs);
    auto const body = json::parse(answer->body).as_object();
    CHECK(body.at("id") == "id\\");
    auto const& tasks = body.at("tasks").as_array();
    REQUIRE(tasks.size() == 3);
    CHECK(tasks[0].at("output").at("a") == 1);
    CHECK(tasks[1].at("output") == "plain \"text\"");
    CHECK(tasks[2].at("task") == 2);
    CHECK(tasks[2].at("output") == "");
}

TEST_CASE("an output can't add members to the answer around it")
{
    auto const hostile = R"(1},{"task":9,"output":2)";
    auto const answer = make_job_answer("id", {to_json_value(hostile)});
    auto const body = json::parse(answer->body).as_object();
    CHECK(body.at("tasks").as_array().size() == 1);
    // Bytes that are not valid UTF-8 are not valid JSON either.
    CHECK(to_json_value("\"\xff\"") != "\"\xff\"");
}

TEST_CASE("the ran state of a job is derived from the phases of its tasks")
{
    boost::asio::io_context context;
    auto ending = make_job(context, 3);
    CHECK(ran_of(ending) == ran_state::not_run);
    ending.tasks[1].phase = task_phase::connecting;
    CHECK(ran_of(ending) == ran_state::not_run);
    ending.tasks[1].phase = task_phase::written;
    CHECK(ran_of(ending) == ran_state::unknown);
    ending.tasks[2].phase = task_phase::ended;
    CHECK(ran_of(ending) == ran_state::ran);
    auto retried = make_job(context, 1);
    retried.tasks[0].may_have_run = true;
    CHECK(ran_of(retried) == ran_state::unknown);
}

TEST_CASE("retries stay within a tenth of the requests after an initial burst")
{
    retry_budget budget;
    constexpr int requests = 1'000;
    int retries = 0;
    while (budget.take())
        ++retries;
    constexpr int burst = 20;
    CHECK(retries == burst);
    retries = 0;
    for (int i = 0; i < requests; ++i)
    {
        budget.record_request();
        retries += budget.take() ? 1 : 0;
    }
    CHECK(retries > 0);
    CHECK(retries <= requests / 10);
}

TEST_CASE("an error answer is valid JSON for any text of an endpoint")
{
    auto const answer =
        make_error_answer("\xff", result_code::task_failed, ran_state::ran,
                          "cut in the middle of a character \xc5");
    boost::system::error_code error;
    auto const body = json::parse(answer->body, error);
    REQUIRE_FALSE(error);
    CHECK(body.at("detail") == "cut in the middle of a character ?");
    auto const valid =
        make_error_answer("", result_code::task_failed, ran_state::ran, "tŷ");
    CHECK(json::parse(valid->body).at("detail") == "tŷ");
}
