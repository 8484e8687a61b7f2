#include "arrival_process.hpp"
#include "job_message.hpp"
#include "job_source.hpp"
#include "load_results.hpp"
#include "message_counts.hpp"
#include "report_html.hpp"
#include "report_json.hpp"

#include <boost/json.hpp>
#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::load;

namespace
{

constexpr std::string_view scenario_text = R"(
seed = 7
service = "orderdesk"
tasks_per_job = 3
jobs_per_s = 200
run_for_ms = 20000
warm_up_ms = 1000
fastest_speed = 2.0
[run_time]
shape = "exponential"
mean_ms = 100
declared_unit_ms = 50
declared_error = 4.0
[[entry]]
address = "127.0.0.1:8101"
weight = 90
[[entry]]
address = "127.0.0.1:8102"
weight = 10
[[phase]]
from_ms = 5000
to_ms = 10000
rate_factor = 3.0
[[action]]
at_ms = 9000
kind = "cancel_wave"
part = 0.5
[[action]]
at_ms = 2000
address = "127.0.0.1:9101"
path = "/control"
body = '{"fail": true}'
)";

scenario sample_scenario()
{
    auto parsed = parse_scenario(scenario_text, "whole");
    REQUIRE(parsed.has_value());
    return *std::move(parsed);
}

result_code parse_result_of(std::string const& text)
{
    auto const parsed = parse_scenario(text, "t");
    return parsed ? result_code::ok : parsed.error().code;
}

transport::http_response job_response(std::string body)
{
    return {200, {}, std::move(body)};
}

} // namespace

TEST_CASE("a complete scenario is parsed and its actions are sorted by time")
{
    auto const plan = sample_scenario();
    CHECK(plan.entries.at(1).address.port == 8102);
    CHECK(plan.run_time.shape == run_time_shape::exponential);
    CHECK(plan.actions.at(0).path == "/control");
    CHECK(plan.actions.at(1).kind == action_kind::cancel_wave);
    CHECK(plan.phases.at(0).to == milliseconds(10'000));
}

TEST_CASE("an invalid scenario is refused with its line number")
{
    std::string const head = "service = \"s\"\n[[entry]]\n";
    std::string const good = head + "address = \"127.0.0.1:1\"\n";
    CHECK(parse_result_of(good) == result_code::ok);
    CHECK(parse_result_of(head) == result_code::config_missing_key);
    CHECK(parse_result_of("service = \"s\"") ==
          result_code::config_missing_key);
    CHECK(parse_result_of(good + "x = 1") == result_code::config_unknown_key);
    CHECK(parse_result_of(good + "weight = 0") ==
          result_code::config_out_of_range);
    CHECK(parse_result_of("seed = -1\n" + good) ==
          result_code::config_out_of_range);
    CHECK(parse_result_of("seed = \"1\"\n" + good) ==
          result_code::config_wrong_type);
    CHECK(parse_result_of("tasks_per_job = 891\n" + good) ==
          result_code::config_out_of_range);
    CHECK(parse_result_of("kind = \"request\"\ntasks_per_job = 2\n" + good) ==
          result_code::config_out_of_range);
    CHECK(parse_result_of(good + "[run_time]\nshape = \"bell\"") ==
          result_code::config_unknown_reference);
    CHECK(parse_result_of(good + "[[action]]\nat_ms = 1") ==
          result_code::config_missing_key);
    CHECK(parse_result_of(good + "[") == result_code::config_syntax);
    auto const parsed = parse_scenario(good + "x = 1", "t");
    REQUIRE(parsed.has_error());
    CHECK(parsed.error().detail.starts_with("t:4: "));
}

TEST_CASE("arrivals follow the rate of each phase and depend only on the seed")
{
    auto const plan = sample_scenario();
    arrival_process arrivals(plan);
    arrival_process same(plan);
    duration last{0};
    std::array<unsigned, 4> counts{};
    while (auto const at = arrivals.next())
    {
        CHECK(same.next() == at);
        CHECK(*at > last);
        CHECK(*at < plan.run_for);
        last = *at;
        ++counts.at(static_cast<std::size_t>(*at / milliseconds(5'000)));
    }
    CHECK_FALSE(same.next());
    // 1,000 and 3,000 are expected; the bounds are five standard deviations.
    for (std::size_t const usual : {0, 2, 3})
        CHECK(std::abs(static_cast<int>(counts.at(usual)) - 1'000) < 160);
    CHECK(std::abs(static_cast<int>(counts.at(1)) - 3'000) < 275);
}

TEST_CASE("a phase with rate factor 0 has no arrivals")
{
    auto plan = sample_scenario();
    plan.phases = {{milliseconds(0), milliseconds(19'000), 0}};
    arrival_process arrivals(plan);
    auto const first = arrivals.next();
    REQUIRE(first);
    CHECK(*first >= milliseconds(19'000));
}

TEST_CASE("jobs follow the seed, the weights and the declared error")
{
    auto const plan = sample_scenario();
    job_source jobs(plan);
    job_source same(plan);
    unsigned at_first = 0;
    for (unsigned i = 0; i < 1'000; ++i)
    {
        auto const job = jobs.next();
        auto const again = same.next();
        CHECK(job.entry == again.entry);
        REQUIRE(job.tasks.size() == 3);
        at_first += job.entry == 0 ? 1 : 0;
        double longest = 0;
        for (std::size_t t = 0; t < job.tasks.size(); ++t)
        {
            auto const& task = job.tasks[t];
            CHECK(task.input == again.tasks[t].input);
            auto const error = task.declared_size / (task.run_ms / 50);
            CHECK(error >= doctest::Approx(0.25));
            CHECK(error <= doctest::Approx(4));
            longest = std::max(longest, task.run_ms);
        }
        CHECK(ideal_ms(job, plan.fastest_speed) == longest / 2);
    }
    CHECK(at_first > 850);
    CHECK(at_first < 950);
}

TEST_CASE("quantiles are exact to the width of a bin")
{
    sample_histogram samples;
    CHECK(samples.quantile(0.5) == 0);
    for (unsigned i = 1; i <= 1'000; ++i)
        samples.add(i);
    CHECK(samples.count() == 1'000);
    CHECK(samples.mean() == doctest::Approx(500.5));
    CHECK(samples.quantile(0.5) == doctest::Approx(500).epsilon(0.011));
    CHECK(samples.quantile(0.99) == doctest::Approx(990).epsilon(0.011));
    CHECK(samples.quantile(1) == 1'000);
    samples.add(-1);
    samples.add(1e12);
    CHECK(samples.count() == 1'002);
    CHECK(samples.max() == 1e12);
}

TEST_CASE("messages are counted by kind, and the ideal is two per job and task")
{
    auto const before = parse_message_counts(
        "# TYPE masticshift_messages_total counter\n"
        "masticshift_messages_total{kind=\"task_call\"} 10\n");
    auto const after = parse_message_counts(
        "masticshift_messages_total{kind=\"task_call\"} 1.5e2\n"
        "masticshift_messages_total{kind=\"task_call\",to=\"x\"} 10\n"
        "masticshift_messages_total{kind=\"borrow\"} 5\n"
        "masticshift_messages_total_other{kind=\"borrow\"} 5\n"
        "masticshift_jobs_total 9");
    auto const sent = difference(before, after);
    CHECK(sent.by_kind.at("task_call") == 150);
    CHECK(sent.total() == 155);
    CHECK(ideal_messages(10, 60) == 140);
}

TEST_CASE("answers that lack tasks are bad answers")
{
    auto plan = sample_scenario();
    plan.tasks_per_job = 2;
    std::string const head = R"({"id":"i","code":0,"name":"ok","ran":"ran",)";
    auto const row = R"({"task":0,"output":{"echo":1}})";
    auto const last = R"({"task":1,"output":{"echo":2}})";
    auto const read = [&](std::string const& tasks)
    {
        auto const body = head + R"("tasks":[)" + tasks + "]}";
        return read_submission_answer(plan, job_response(body), true);
    };
    auto const complete = read(std::string(row) + "," + last);
    CHECK(complete.end == call_end::answered);
    CHECK(complete.content.answers.size() == 2);
    CHECK(read(row).end == call_end::bad_answer);
    CHECK(read("1, 2").end == call_end::bad_answer);
    CHECK(read_submission_answer(plan, job_response("x"), true).end ==
          call_end::bad_answer);
    auto const refused = read_submission_answer(
        plan, job_response(R"({"id":"i","code":200,"ran":"not_run"})"), false);
    CHECK(refused.end == call_end::answered);
    CHECK(refused.content.code == result_code::overloaded);
    CHECK(refused.content.ran == ran_state::not_run);
}

TEST_CASE("the answer of a request is parsed from its header fields")
{
    auto plan = sample_scenario();
    plan.kind = history::call_kind::request;
    plan.tasks_per_job = 1;
    transport::http_response response;
    response.body = R"({"echo":{"n":1}})";
    CHECK(read_submission_answer(plan, response, true).end ==
          call_end::bad_answer);
    response.fields.set("Masticshift-Id", "i");
    response.fields.set("Masticshift-Code", "0");
    response.fields.set("Masticshift-Ran", "ran");
    auto const read = read_submission_answer(plan, response, true);
    CHECK(read.end == call_end::answered);
    CHECK(read.content.answers.size() == 1);
}

TEST_CASE("response times count from the time that a job was due")
{
    auto const plan = sample_scenario();
    load_results results(plan);
    planned_job job;
    job.tasks.push_back({{}, 100, 0});
    time_point const start{};
    auto const add = [&](milliseconds due, milliseconds ended, call_end end)
    {
        job_outcome outcome;
        outcome.end = end;
        outcome.code = result_code::ok;
        outcome.ended = start + ended;
        outcome.calls = 2;
        results.add(job, due, start, outcome);
    };
    add(milliseconds(500), milliseconds(600), call_end::answered);
    add(milliseconds(2'000), milliseconds(2'150), call_end::answered);
    add(milliseconds(2'000), milliseconds(2'150), call_end::broken);
    CHECK(results.jobs == 3);
    CHECK(results.tasks_ok == 2);
    CHECK(results.resubmissions == 3);
    CHECK(results.ends.at("ok") == 1);
    CHECK(results.ends.at("connection_broken") == 1);
    CHECK(results.response_ms.mean() == 150);
    CHECK(results.slowdown.mean() == 3);
    CHECK(results.added_ms.mean() == 100);
    CHECK(results.seconds.at(2).due == 2);
    auto const report = to_json(results);
    CHECK_FALSE(report.at("messages").as_object().contains("extra_per_task"));
    auto const page = to_html(results, "a<b");
    CHECK(page.find("a&lt;b") != std::string::npos);
    CHECK(page.find("http") == std::string::npos);
}
