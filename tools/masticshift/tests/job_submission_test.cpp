#include "job_submission.hpp"

#include "commands.hpp"
#include "fake_entry.hpp"

#include <doctest/doctest.h>

#include <exception>
#include <set>

using namespace masticshift;
using namespace masticshift::cli;
namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

struct fixture
{
    asio::io_context context{1};
    fake_entry first{context, "first~1~1"};
    fake_entry second{context, "second~1~1"};
    session calls{context.get_executor()};
    options command_line;
    submit_limits limits;

    fixture()
    {
        REQUIRE(first.is_listening());
        REQUIRE(second.is_listening());
        command_line.entries = {first.address(), second.address()};
        command_line.service = "s";
        limits.attempts = 4;
        limits.first_retry_delay = milliseconds(1);
        limits.max_retry_delay = milliseconds(1);
    }

    report run(asio::awaitable<report> work)
    {
        report result;
        std::exception_ptr problem;
        asio::co_spawn(context, std::move(work),
                       [&](std::exception_ptr const& error, report finished)
                       {
                           problem = error;
                           result = std::move(finished);
                           context.stop();
                       });
        context.run();
        REQUIRE_FALSE(problem);
        return result;
    }

    report submit()
    {
        json::array const tasks{json::object{{"input", 1}}};
        job_submission job(calls, command_line, tasks, limits);
        return run(job.run(steady_clock::now()));
    }

    /// The ids of the jobs that the two entries received.
    std::set<std::string> ids() const
    {
        std::set<std::string> seen;
        for (auto const* entry : {&first, &second})
        {
            for (auto const& body : entry->bodies)
            {
                auto const object = json::parse(body).as_object();
                seen.emplace(object.at("id").as_string());
            }
        }
        return seen;
    }
};

} // namespace

TEST_CASE("a job id starts with the home token of the entry")
{
    fixture test;
    test.first.plan(result_code::ok, ran_state::ran);
    CHECK(test.submit().code == result_code::ok);
    REQUIRE(test.ids().size() == 1);
    CHECK(test.ids().begin()->starts_with("first~1~1."));
}

TEST_CASE("after a lost connection the same body is sent to the next entry")
{
    fixture test;
    test.first.plan_disconnect();
    test.second.plan(result_code::ok, ran_state::ran);
    CHECK(test.submit().code == result_code::ok);
    REQUIRE(test.second.bodies.size() == 1);
    CHECK(test.first.bodies == test.second.bodies);
}

TEST_CASE("an id that was sent is never replaced while its outcome is unknown")
{
    fixture test;
    test.first.plan_disconnect();
    test.second.plan(result_code::home_unreachable, ran_state::unknown);
    test.first.plan(result_code::outcome_unknown, ran_state::unknown);
    test.second.plan(result_code::outcome_unknown, ran_state::unknown);
    auto const result = test.submit();
    CHECK(result.code == result_code::outcome_unknown);
    CHECK(result.detail.find("--id") != std::string::npos);
    CHECK(test.ids().size() == 1);
    CHECK(test.first.bodies.size() + test.second.bodies.size() == 4);
}

TEST_CASE(
    "an id passed with --id is never replaced while its outcome is unknown")
{
    fixture test;
    test.command_line.id = "gone~1~1.x";
    for (auto* const entry : {&test.first, &test.second})
    {
        entry->plan(result_code::outcome_unknown, ran_state::unknown);
        entry->plan(result_code::outcome_unknown, ran_state::unknown);
    }
    CHECK(test.submit().code == result_code::outcome_unknown);
    CHECK(test.ids() == std::set<std::string>{"gone~1~1.x"});
}

TEST_CASE(
    "an id that was never sent before is replaced when its home is unreachable")
{
    fixture test;
    test.first.plan(result_code::home_unreachable, ran_state::unknown);
    test.second.plan(result_code::ok, ran_state::ran);
    CHECK(test.submit().code == result_code::ok);
    CHECK(test.ids().size() == 2);
}

TEST_CASE("an unknown outcome of the first call keeps the id")
{
    fixture test;
    test.first.plan(result_code::outcome_unknown, ran_state::unknown);
    test.second.plan(result_code::ok, ran_state::ran);
    CHECK(test.submit().code == result_code::ok);
    CHECK(test.ids().size() == 1);
}

TEST_CASE("a job that did not run is submitted under a new id")
{
    fixture test;
    test.first.plan(result_code::draining, ran_state::not_run);
    test.second.plan(result_code::ok, ran_state::ran);
    CHECK(test.submit().code == result_code::ok);
    CHECK(test.ids().size() == 2);
}

TEST_CASE("a permanent refusal and a failed job are final")
{
    for (auto const code :
         {result_code::unknown_service, result_code::task_failed})
    {
        fixture test;
        auto const ran = code == result_code::task_failed ? ran_state::ran
                                                          : ran_state::not_run;
        test.first.plan(code, ran);
        CHECK(test.submit().code == code);
        CHECK(test.second.bodies.empty());
    }
}

TEST_CASE("an entry that is unreachable or not ready is skipped")
{
    fixture unreachable;
    unreachable.first.stop();
    unreachable.second.plan(result_code::ok, ran_state::ran);
    CHECK(unreachable.submit().code == result_code::ok);

    fixture unready;
    unready.first.ready = false;
    unready.second.plan(result_code::ok, ran_state::ran);
    CHECK(unready.submit().code == result_code::ok);
    CHECK(unready.first.bodies.empty());
}

TEST_CASE(
    "a job is not sent and fails with io_error when no entry is reachable")
{
    fixture test;
    test.first.stop();
    test.second.stop();
    CHECK(test.submit().code == result_code::io_error);
    CHECK(test.ids().empty());
}

TEST_CASE("a body without a valid result code and ran state is not an answer")
{
    CHECK_FALSE(parse_entry_answer({200, {}, "[]"}).has_value());
    CHECK_FALSE(parse_entry_answer({200, {}, R"({"code": 0})"}).has_value());
    CHECK_FALSE(parse_entry_answer({200, {}, R"({"code": 1, "ran": "ran"})"})
                    .has_value());
    CHECK_FALSE(parse_entry_answer({200, {}, R"({"code": 1e9, "ran": "ran"})"})
                    .has_value());
}

TEST_CASE("a cancellation tries the next entry after a lost connection")
{
    fixture test;
    test.command_line.arguments = {"cancel", "a~1~1.x/y"};
    test.first.plan_disconnect();
    test.second.plan(result_code::cancelled, ran_state::ran);
    CHECK(test.run(run_cancel(test.calls, test.command_line)).code ==
          result_code::ok);
    CHECK(test.second.targets ==
          std::vector<std::string>{"DELETE /v1/jobs/a~1~1.x%2Fy"});
}
