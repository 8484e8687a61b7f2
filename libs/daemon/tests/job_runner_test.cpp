#include "runner_fixture.hpp"

#include <algorithm>
#include <set>
#include <thread>

using namespace runner_test;

namespace
{

reply respond(http_request request)
{
    co_return answer_to(request);
}

reply close_connection(http_request)
{
    co_return std::nullopt;
}

std::uint64_t connect_failures(fixture& f)
{
    std::uint64_t sum = 0;
    for (auto const& endpoint : f.engine.status(steady_clock::now()).endpoints)
        sum += endpoint.connect_failures;
    return sum;
}

} // namespace

TEST_CASE("a task whose connection is refused is queued again and runs once")
{
    fixture f;
    fake_endpoint stopped(f.context.get_executor(), respond);
    auto const stopped_port = stopped.port();
    stopped.stop();
    fake_endpoint good(f.context.get_executor(), respond);
    f.use({stopped_port, good.port()});
    auto const job = f.start(8);
    f.run_until_ended(job);
    CHECK(job->answer->code == result_code::ok);
    CHECK(f.metrics.tasks_requeued > 0);
    std::set<std::string> const started(good.tasks.begin(), good.tasks.end());
    CHECK(good.tasks.size() == 8);
    CHECK(started.size() == 8);
    CHECK(f.ended == 1);
}

TEST_CASE("a task that an endpoint refused without running is queued again")
{
    fixture f;
    int calls = 0;
    fake_endpoint endpoint(f.context.get_executor(),
                           [&](http_request request) -> reply
                           {
                               if (++calls == 1)
                                   co_return refuse_not_run(request);
                               co_return answer_to(request);
                           });
    f.use({endpoint.port()});
    auto const job = f.start(1);
    f.run_until_ended(job);
    CHECK(job->answer->code == result_code::ok);
    CHECK(endpoint.tasks == std::vector<std::string>{"id1/0/1", "id1/0/2"});
}

TEST_CASE("a job whose every attempt is refused ends as not run")
{
    constexpr unsigned attempts = 2;
    fixture f({}, attempts);
    fake_endpoint endpoint(f.context.get_executor(),
                           [&](http_request request) -> reply
                           {
                               co_return refuse_not_run(request);
                           });
    f.use({endpoint.port()});
    auto const job = f.start(1);
    f.run_until_ended(job);
    CHECK(job->answer->code == result_code::endpoint_refused);
    CHECK(job->answer->ran == ran_state::not_run);
    CHECK(endpoint.tasks.size() == attempts);
}

TEST_CASE("a response for another task never reaches the caller")
{
    fixture f;
    fake_endpoint endpoint(
        f.context.get_executor(),
        [&](http_request request) -> reply
        {
            auto mismatched = answer_to(request, R"("secret")");
            mismatched.fields.set("Masticshift-Task", "other/0/1");
            co_return mismatched;
        });
    f.use({endpoint.port()});
    auto const job = f.start(1);
    f.run_until_ended(job);
    CHECK(job->answer->code == result_code::answer_mismatch);
    CHECK(job->answer->ran == ran_state::unknown);
    CHECK(job->answer->body.find("secret") == std::string::npos);
    // Only the connection of the cancellation may be open.
    f.run_until(
        [&]
        {
            return endpoint.cancellations.size() == 1 &&
                   endpoint.connections() <= 1;
        });
}

TEST_CASE(
    "a lost response fails the job and cancels its other tasks in one call")
{
    fixture f;
    fake_endpoint* self = nullptr;
    fake_endpoint endpoint(
        f.context.get_executor(),
        [&](http_request request) -> reply
        {
            auto const label = request.fields["Masticshift-Task"];
            if (label == "id1/0/1")
                co_return answer_to(request);
            if (label != "id1/3/1")
                co_return co_await self->never_respond();
            while (self->tasks.size() < 4)
                co_await asio::post(f.context, asio::use_awaitable);
            co_return std::nullopt;
        });
    self = &endpoint;
    f.use({endpoint.port()});
    auto const job = f.start(4);
    f.run_until_ended(job);
    CHECK(job->answer->code == result_code::endpoint_lost);
    CHECK(job->answer->ran != ran_state::not_run);
    CHECK_FALSE(has_output(*job));
    f.run_until(
        [&]
        {
            return !endpoint.cancellations.empty();
        });
    CHECK(endpoint.cancellations.size() == 1);
    auto const& labels = endpoint.cancellations.front();
    for (auto const* label : {"id1/1/1", "id1/2/1"})
        CHECK(std::ranges::find(labels, label) != labels.end());
    CHECK(endpoint.tasks.size() == 4);
    CHECK(f.metrics.cancellations == 1);
}

TEST_CASE("a request is retried only if it is idempotent")
{
    constexpr std::size_t max_starts = 4;
    for (bool const idempotent : {false, true})
    {
        fixture f;
        fake_endpoint endpoint(f.context.get_executor(), close_connection);
        f.use({endpoint.port()});
        auto const job = f.start_request(idempotent);
        f.run_until_ended(job);
        CHECK(job->answer->code == result_code::endpoint_lost);
        CHECK(job->answer->ran == ran_state::unknown);
        CHECK(endpoint.tasks.size() == (idempotent ? max_starts : 1));
        std::set<std::string> const labels(endpoint.tasks.begin(),
                                           endpoint.tasks.end());
        CHECK(labels.size() == endpoint.tasks.size());
    }
}

TEST_CASE("retries of all requests stay within the budget")
{
    constexpr int requests = 30;
    constexpr std::size_t max_retries = 20 + requests / 10 + 1;
    fixture f;
    fake_endpoint endpoint(f.context.get_executor(), close_connection);
    f.use({endpoint.port()});
    for (int i = 0; i < requests; ++i)
    {
        auto const job = f.start_request(true);
        f.run_until_ended(job);
    }
    CHECK(f.metrics.requests_retried > 0);
    CHECK(endpoint.tasks.size() <= requests + max_retries);
}

TEST_CASE("a retry of an idempotent request gives the answer")
{
    fixture f;
    int calls = 0;
    fake_endpoint endpoint(f.context.get_executor(),
                           [&](http_request request) -> reply
                           {
                               return ++calls == 1
                                          ? close_connection(std::move(request))
                                          : respond(std::move(request));
                           });
    f.use({endpoint.port()});
    auto const job = f.start_request(true);
    f.run_until_ended(job);
    CHECK(job->answer->code == result_code::ok);
    CHECK(f.metrics.requests_retried == 1);
    CHECK(f.runner.running_jobs() == 0);
}

TEST_CASE("nothing is written after the deadline")
{
    constexpr milliseconds timeout{100};
    fixture f;
    fake_endpoint endpoint(f.context.get_executor(), respond);
    f.use({endpoint.port()});
    auto const job = f.start(3, timeout);
    REQUIRE_FALSE(job->has_ended());
    // Simulates a process that is paused until the deadline has passed.
    std::this_thread::sleep_until(job->deadline);
    f.run_until_ended(job);
    CHECK(job->answer->code == result_code::deadline_passed);
    CHECK(job->answer->ran == ran_state::not_run);
    f.run_until(
        [&]
        {
            return f.client.connections(loopback, endpoint.port()) == 0;
        });
    CHECK(endpoint.tasks.empty());
    CHECK(f.metrics.task_calls == 0);
}

TEST_CASE("a job cancelled in the queue counts as not run and sends nothing")
{
    fixture f;
    fake_endpoint* self = nullptr;
    fake_endpoint endpoint(f.context.get_executor(),
                           [&](http_request const&)
                           {
                               return self->never_respond();
                           });
    self = &endpoint;
    f.use({endpoint.port()}, 1);
    auto const first = f.start(1);
    f.run_until(
        [&]
        {
            return endpoint.tasks.size() == 1;
        });
    auto const queued = f.start(1);
    f.runner.cancel(*queued, steady_clock::now());
    CHECK(queued->answer->code == result_code::cancelled);
    CHECK(queued->answer->ran == ran_state::not_run);
    f.runner.cancel(*first, steady_clock::now());
    CHECK(first->answer->ran == ran_state::unknown);
    f.run_until(
        [&]
        {
            return !endpoint.cancellations.empty();
        });
    CHECK(endpoint.cancellations.front() ==
          std::vector<std::string>{"id1/0/1"});
    CHECK(endpoint.tasks.size() == 1);
    CHECK(f.metrics.task_calls == 1);
}

TEST_CASE(
    "a cancellation during the connect is not counted against the endpoint")
{
    fixture f;
    fake_endpoint endpoint(f.context.get_executor(), respond);
    f.use({endpoint.port()});
    auto const job = f.start(4);
    // Runs after the placement, before any connection is made.
    asio::post(f.context,
               [&]
               {
                   CHECK(job->tasks[0].phase == task_phase::connecting);
                   f.runner.cancel(*job, steady_clock::now());
               });
    f.run_until_ended(job);
    CHECK(job->answer->ran == ran_state::not_run);
    auto const next = f.start(4);
    f.run_until_ended(next);
    CHECK(next->answer->code == result_code::ok);
    CHECK(connect_failures(f) == 0);
    CHECK(endpoint.tasks.size() == 4);
}

TEST_CASE("a job may end while its tasks are being started")
{
    transport::http_client_limits limits;
    limits.max_connections = 1;
    fixture f(limits, 1);
    fake_endpoint endpoint(f.context.get_executor(), respond);
    f.use({endpoint.port()});
    // The second task finds no connection and ends the job.
    auto const job = f.start(4);
    f.run_until_ended(job);
    CHECK(job->answer->code == result_code::endpoint_refused);
    CHECK(job->answer->ran == ran_state::not_run);
    f.run_until(
        [&]
        {
            return f.client.connections(loopback, endpoint.port()) == 0;
        });
    CHECK(endpoint.tasks.empty());
}

TEST_CASE("the result of a recoverable task is fetched if no response arrives")
{
    fixture f;
    f.recoverable = true;
    fake_endpoint* self = nullptr;
    fake_endpoint endpoint(f.context.get_executor(),
                           [&](http_request request) -> reply
                           {
                               if (request.method == "POST")
                                   return self->never_respond();
                               request.fields.set("Masticshift-Task",
                                                  self->tasks.front());
                               return respond(std::move(request));
                           });
    self = &endpoint;
    f.use({endpoint.port()});
    auto const job = f.start(1);
    f.run_until_ended(job);
    CHECK(job->answer->code == result_code::ok);
    CHECK(endpoint.tasks.size() == 1);
    CHECK(endpoint.answer_queries == 1);
}

TEST_CASE("a recoverable task that the endpoint never received is queued again")
{
    fixture f;
    f.recoverable = true;
    fake_endpoint* self = nullptr;
    fake_endpoint endpoint(
        f.context.get_executor(),
        [&](http_request request) -> reply
        {
            if (request.method == "POST" && self->tasks.size() == 1)
                co_return std::nullopt;
            if (request.method == "POST")
                co_return answer_to(request);
            request.fields.set("Masticshift-Task", self->tasks.front());
            auto not_received = refuse_not_run(request);
            not_received.status = 404;
            co_return not_received;
        });
    self = &endpoint;
    f.use({endpoint.port()});
    auto const job = f.start(1);
    f.run_until_ended(job);
    CHECK(job->answer->code == result_code::ok);
    CHECK(endpoint.tasks == std::vector<std::string>{"id1/0/1", "id1/0/2"});
}

TEST_CASE("a stop ends every job and reports whether it may have run")
{
    fixture f;
    fake_endpoint* self = nullptr;
    fake_endpoint endpoint(f.context.get_executor(),
                           [&](http_request const&)
                           {
                               return self->never_respond();
                           });
    self = &endpoint;
    f.use({endpoint.port()}, 1);
    auto const first = f.start(1);
    f.run_until(
        [&]
        {
            return endpoint.tasks.size() == 1;
        });
    auto const queued = f.start(1);
    f.runner.end_all(steady_clock::now());
    CHECK(first->answer->code == result_code::outcome_unknown);
    CHECK(first->answer->ran == ran_state::unknown);
    CHECK(queued->answer->code == result_code::draining);
    CHECK(queued->answer->ran == ran_state::not_run);
    CHECK(f.ended == 2);
}
