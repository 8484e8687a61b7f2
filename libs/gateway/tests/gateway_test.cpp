#include "deployment.hpp"

#include <doctest/doctest.h>

using namespace masticshift;
using masticshift::gateway::deployment;

namespace
{

constexpr milliseconds answer_timeout{3'500};

bool run_until_answered(
    deployment& fixture,
    std::vector<std::shared_ptr<deployment::pending_answer>> const& jobs)
{
    return fixture.run_until(
        [&]
        {
            return std::ranges::all_of(jobs,
                                       [](auto const& job)
                                       {
                                           return job->status != 0;
                                       });
        },
        answer_timeout);
}

std::vector<std::shared_ptr<deployment::pending_answer>>
submit_many(deployment& fixture, std::size_t entries, unsigned first,
            unsigned count)
{
    std::vector<std::shared_ptr<deployment::pending_answer>> jobs;
    for (unsigned i = 0; i < count; ++i)
    {
        jobs.push_back(fixture.submit(i % entries, first + i));
        fixture.run(milliseconds(10));
    }
    return jobs;
}

long completed(
    std::vector<std::shared_ptr<deployment::pending_answer>> const& jobs)
{
    return std::ranges::count_if(jobs,
                                 [](auto const& job)
                                 {
                                     return job->status == 200 &&
                                            job->body ==
                                                R"({"state":"completed"})";
                                 });
}

} // namespace

TEST_CASE("jobs sent to entries of two data centres complete and start each "
          "task once")
{
    deployment fixture;
    fixture.add_endpoints("north", 2);
    fixture.add_endpoints("south", 2);
    fixture.add_gateway("north", 0.25);
    fixture.add_gateway("south", 0.25);
    REQUIRE(fixture.run_until_ready(0));
    REQUIRE(fixture.run_until_ready(1));
    auto const jobs = submit_many(fixture, 2, 1, 10);
    REQUIRE(run_until_answered(fixture, jobs));
    CHECK(completed(jobs) == 10);
    CHECK(fixture.platform().findings().starts == 20);
    CHECK(fixture.platform().findings().concurrent_runs.empty());
}

TEST_CASE(
    "jobs with an unknown path, an unsupported field or too many tasks are "
    "refused and start nothing")
{
    deployment fixture;
    fixture.add_endpoints("north", 1);
    fixture.add_gateway("north", 0.25);
    REQUIRE(fixture.run_until_ready(0));
    auto const unknown = fixture.submit(0, 1, 1, "/none/");
    auto const repeated =
        fixture.submit(0, 2, 1, "/q/", R"(,"repeat_count":3)");
    auto const huge = fixture.submit(0, 3, 100'000);
    REQUIRE(run_until_answered(fixture, {unknown, repeated, huge}));
    CHECK(unknown->status == 404);
    CHECK(repeated->status == 503);
    CHECK_FALSE(repeated->retry_after.empty());
    CHECK(huge->status == 400);
    CHECK(fixture.platform().findings().starts == 0);
}

TEST_CASE("an entry that started before the endpoints dispatches them soon")
{
    deployment fixture;
    fixture.add_gateway("north", 0.25);
    fixture.run(milliseconds(1'500));
    CHECK(fixture.ready_status(0) == 503);
    fixture.add_endpoints("north", 2);
    fixture.run(milliseconds(1'500));
    CHECK(fixture.ready_status(0) == 200);
    auto const jobs = submit_many(fixture, 1, 1, 2);
    REQUIRE(run_until_answered(fixture, jobs));
    CHECK(completed(jobs) == 2);
}

TEST_CASE("an entry without a configuration is not ready and refuses jobs")
{
    deployment fixture;
    fixture.platform().faults().store_down = true;
    fixture.add_endpoints("north", 1);
    fixture.add_gateway("north", 0.25);
    fixture.run(milliseconds(1'200));
    CHECK(fixture.ready_status(0) == 503);
    auto const job = fixture.submit(0, 1);
    REQUIRE(run_until_answered(fixture, {job}));
    CHECK(job->status == 503);
    fixture.platform().faults().store_down = false;
    CHECK(fixture.run_until_ready(0));
}

TEST_CASE("jobs complete while the store is unavailable and after it lost its "
          "history")
{
    deployment fixture;
    fixture.add_endpoints("north", 2);
    fixture.add_gateway("north", 0.25);
    REQUIRE(fixture.run_until_ready(0));
    SUBCASE("down")
    {
        fixture.platform().faults().store_down = true;
    }
    SUBCASE("silent")
    {
        fixture.platform().faults().store_silent = true;
    }
    SUBCASE("history gone")
    {
        fixture.platform().faults().history_gone = true;
    }
    fixture.run(milliseconds(1'500));
    auto const jobs = submit_many(fixture, 1, 1, 5);
    REQUIRE(run_until_answered(fixture, jobs));
    CHECK(completed(jobs) == 5);
    CHECK(fixture.ready_status(0) == 200);
}

TEST_CASE("a new configuration is in force on all entries within two seconds")
{
    deployment fixture;
    fixture.add_endpoints("north", 1);
    fixture.add_gateway("north", 0.25);
    fixture.add_gateway("north", 0.25);
    REQUIRE(fixture.run_until_ready(0));
    REQUIRE(fixture.run_until_ready(1));
    fixture.platform().configure(7, milliseconds(10));
    fixture.run(milliseconds(1'900));
    CHECK(fixture.status_json(0).find(R"("configuration":7,)") !=
          std::string::npos);
    CHECK(fixture.status_json(1).find(R"("configuration":7,)") !=
          std::string::npos);
    auto const jobs = submit_many(fixture, 2, 1, 2);
    REQUIRE(run_until_answered(fixture, jobs));
    CHECK(completed(jobs) == 2);
}

TEST_CASE("an entry that takes over a cell uses no endpoint that left since it "
          "last read the list")
{
    deployment fixture;
    fixture.add_endpoints("north", 1);
    fixture.add_gateway("north", 0.5);
    fixture.add_gateway("north", 0.25);
    REQUIRE(fixture.run_until_ready(0));
    REQUIRE(fixture.run_until_ready(1));
    // Entry 1 has read the list, and does so again much later.
    fixture.run(milliseconds(1'500));
    fixture.platform().drain_endpoint("north0");
    fixture.run(milliseconds(500));
    auto const before = fixture.platform().findings().starts;
    fixture.at(0).drain();
    std::vector<std::shared_ptr<deployment::pending_answer>> jobs;
    for (unsigned i = 1; i <= 20; ++i)
    {
        jobs.push_back(fixture.submit(1, i, 1));
        fixture.run(milliseconds(50));
    }
    REQUIRE(run_until_answered(fixture, jobs));
    CHECK(fixture.status_json(1).find(R"("cell":"north/0/1")") !=
          std::string::npos);
    CHECK(fixture.platform().findings().starts == before);
}

TEST_CASE(
    "an entry that takes over a cell is up to date although the store has "
    "more changes than fit one response")
{
    deployment fixture;
    fixture.add_endpoints("north", 4);
    fixture.add_gateway("north", 0.5);
    fixture.add_gateway("north", 0.25);
    REQUIRE(fixture.run_until_ready(0));
    REQUIRE(fixture.run_until_ready(1));
    fixture.run(milliseconds(1'500));
    for (auto const* const id : {"north1", "north2", "north3", "north0"})
        fixture.platform().drain_endpoint(id);
    fixture.run(milliseconds(1'500));
    auto const before = fixture.platform().findings().starts;
    fixture.platform().faults().changes_per_response = 1;
    fixture.at(0).drain();
    std::vector<std::shared_ptr<deployment::pending_answer>> jobs;
    for (unsigned i = 1; i <= 20; ++i)
    {
        jobs.push_back(fixture.submit(1, i, 1));
        fixture.run(milliseconds(50));
    }
    REQUIRE(run_until_answered(fixture, jobs));
    CHECK(fixture.platform().findings().starts == before);
}

// The dispatcher of a cell leaves, and the entry that takes the cell over has
// an old list. Its own read of the list gets no response; a peer reads it
// instead.
TEST_CASE("an entry that takes over a cell starts nothing by an old list while "
          "the list is being read")
{
    deployment fixture;
    fixture.add_endpoints("north", 1);
    fixture.add_endpoints("south", 1);
    fixture.add_gateway("north", 0.5);
    fixture.add_gateway("north", 0.25);
    fixture.add_gateway("south", 0.5);
    for (std::size_t i = 0; i < 3; ++i)
        REQUIRE(fixture.run_until_ready(i));
    fixture.run(milliseconds(1'500));
    fixture.platform().drain_endpoint("north0");
    fixture.run(test_support::drain_limit);
    fixture.platform().faults().unanswered_table_reads = 1;
    fixture.platform().faults().store_delay = milliseconds(240);
    fixture.at(0).drain();
    std::vector<std::shared_ptr<deployment::pending_answer>> jobs;
    for (unsigned i = 1; i <= 100; ++i)
    {
        jobs.push_back(fixture.submit(1, i, 1));
        fixture.run(milliseconds(15));
    }
    REQUIRE(run_until_answered(fixture, jobs));
    CHECK(fixture.status_json(1).find(R"("cell":"north/0/1")") !=
          std::string::npos);
    CHECK(fixture.platform().findings().late_starts.empty());
}

// The reported DRAIN: endpoints say that they drain shortly before the only
// entry of their data centre is gone, and an entry elsewhere takes their cell
// over.
TEST_CASE(
    "an entry that takes over a cell of another data centre starts nothing "
    "on endpoints that have drained meanwhile")
{
    deployment fixture;
    fixture.add_endpoints("north", 2);
    fixture.add_endpoints("south", 1);
    fixture.add_gateway("north", 0.25);
    fixture.add_gateway("south", 0.5);
    fixture.add_gateway("south", 0.25);
    for (std::size_t i = 0; i < 3; ++i)
        REQUIRE(fixture.run_until_ready(i));
    fixture.run(milliseconds(1'500));
    fixture.platform().drain_endpoint("north0");
    fixture.run(test_support::drain_limit);
    fixture.platform().faults().store_delay = milliseconds(450);
    fixture.at(0).drain();
    std::vector<std::shared_ptr<deployment::pending_answer>> jobs;
    for (unsigned i = 1; i <= 200; ++i)
    {
        jobs.push_back(fixture.submit(1, i, 4));
        fixture.run(milliseconds(10));
    }
    REQUIRE(run_until_answered(fixture, jobs));
    CHECK(fixture.status_json(2).find(R"("cell":"north/0/1")") !=
          std::string::npos);
    CHECK(fixture.platform().findings().late_starts.empty());
}

// Many rows of the table of endpoints change at once, for example when all
// registrations are back after an outage of the store.
TEST_CASE("a dispatcher learns in time that an endpoint drains although many "
          "rows have changed")
{
    deployment fixture;
    fixture.add_endpoints("north", 1);
    fixture.add_gateway("north", 0.5);
    REQUIRE(fixture.run_until_ready(0));
    fixture.run(milliseconds(1'000));
    fixture.platform().write_other_rows(5'000);
    fixture.platform().drain_endpoint("north0");
    std::vector<std::shared_ptr<deployment::pending_answer>> jobs;
    for (unsigned i = 1; i <= 60; ++i)
    {
        jobs.push_back(fixture.submit(0, i, 1));
        fixture.run(milliseconds(50));
    }
    REQUIRE(run_until_answered(fixture, jobs));
    CHECK(fixture.platform().findings().late_starts.empty());
}

TEST_CASE("a draining endpoint gets no new work")
{
    deployment fixture;
    fixture.add_endpoints("north", 2);
    fixture.add_gateway("north", 0.25);
    REQUIRE(fixture.run_until_ready(0));
    fixture.platform().faults().silent_endpoints.insert("north1");
    fixture.platform().drain_endpoint("north0");
    fixture.run(milliseconds(1'500));
    auto const before = fixture.platform().findings().starts;
    auto const job = fixture.submit(0, 1, 1);
    REQUIRE(run_until_answered(fixture, {job}));
    CHECK(job->status != 200);
    CHECK(fixture.platform().findings().starts == before);
}

TEST_CASE("a failed run is retried, and the job fails after its last attempt")
{
    deployment fixture;
    fixture.add_endpoints("north", 4);
    fixture.add_gateway("north", 0.25);
    REQUIRE(fixture.run_until_ready(0));
    fixture.platform().faults().failed_runs = 100;
    auto const job = fixture.submit(0, 1, 1);
    REQUIRE(run_until_answered(fixture, {job}));
    CHECK(job->status == 200);
    CHECK(job->body == R"({"state":"failed"})");
    CHECK(fixture.platform().findings().starts == 3);
}

TEST_CASE("jobs before and during a drain of the dispatcher complete")
{
    deployment fixture;
    fixture.add_endpoints("north", 3);
    fixture.add_gateway("north", 0.5);
    fixture.add_gateway("north", 0.25);
    REQUIRE(fixture.run_until_ready(0));
    REQUIRE(fixture.run_until_ready(1));
    auto jobs = submit_many(fixture, 2, 1, 10);
    fixture.at(0).drain();
    auto const later = submit_many(fixture, 2, 100, 30);
    jobs.insert(jobs.end(), later.begin(), later.end());
    REQUIRE(run_until_answered(fixture, jobs));
    CHECK(completed(jobs) == 40);
    CHECK(fixture.ready_status(0) == 503);
    CHECK(fixture.run_until(
        [&]
        {
            return fixture.stopped(0);
        },
        milliseconds(6'000)));
    CHECK(fixture.platform().findings().concurrent_runs.empty());
}

TEST_CASE("lost and late orders never cause two concurrent runs of a task")
{
    deployment fixture(7);
    fixture.add_endpoints("north", 4);
    fixture.add_gateway("north", 0.25);
    REQUIRE(fixture.run_until_ready(0));
    fixture.platform().faults().lost_orders = 30;
    fixture.platform().faults().late_orders = 50;
    auto const jobs = submit_many(fixture, 1, 1, 60);
    REQUIRE(run_until_answered(fixture, jobs));
    CHECK(fixture.platform().findings().concurrent_runs.empty());
    CHECK(completed(jobs) > 30);
}

TEST_CASE(
    "unresponsive and restarted endpoints fail only the jobs that ran there")
{
    deployment fixture;
    fixture.add_endpoints("north", 4);
    fixture.add_gateway("north", 0.25);
    REQUIRE(fixture.run_until_ready(0));
    auto jobs = submit_many(fixture, 1, 1, 10);
    fixture.platform().faults().silent_endpoints.insert("north0");
    fixture.platform().restart_endpoint("north1");
    auto const later = submit_many(fixture, 1, 100, 20);
    jobs.insert(jobs.end(), later.begin(), later.end());
    REQUIRE(run_until_answered(fixture, jobs));
    CHECK(completed(jobs) >= 28);
    CHECK(fixture.platform().findings().concurrent_runs.empty());
}

TEST_CASE("the status shows cells, endpoints and the endpoints' last failures")
{
    deployment fixture;
    fixture.add_endpoints("north", 2);
    fixture.add_gateway("north", 0.25);
    REQUIRE(fixture.run_until_ready(0));
    CHECK(fixture.status_json(0).find(R"("cell":"north/0/1")") !=
          std::string::npos);
    fixture.platform().faults().failed_runs = 100;
    REQUIRE(run_until_answered(fixture, submit_many(fixture, 1, 900, 4)));
    auto const state = fixture.status_json(0);
    CHECK(state.find(R"("by_link":{"active":2})") != std::string::npos);
    CHECK(state.find(R"("last_failure":"run_failed")") != std::string::npos);
}

TEST_CASE("jobs complete although orders get lost")
{
    deployment fixture;
    fixture.add_endpoints("north", 4);
    fixture.add_gateway("north", 0.25);
    REQUIRE(fixture.run_until_ready(0));
    REQUIRE(run_until_answered(fixture, submit_many(fixture, 1, 1'000, 20)));
    fixture.platform().faults().lost_orders = 15;
    auto const jobs = submit_many(fixture, 1, 1'100, 30);
    REQUIRE(run_until_answered(fixture, jobs));
    CHECK(completed(jobs) >= 27);
    CHECK(fixture.platform().findings().concurrent_runs.empty());
}
