// Endpoints that have restarted under their id, unnoticed so far.

#include "deployment.hpp"

#include <doctest/doctest.h>

using namespace masticshift;
using masticshift::gateway::deployment;

namespace
{

constexpr milliseconds answer_timeout{3'500};

struct restarted_fixture
{
    explicit restarted_fixture(int endpoints)
    {
        for (int i = 0; i < endpoints; ++i)
            ids.push_back("north" + std::to_string(i));
        tested.add_endpoints("north", endpoints);
        tested.add_gateway("north", 0.25);
        REQUIRE(tested.run_until_ready(0));
        auto const job = tested.submit(0, 1, 2 * endpoints);
        REQUIRE(run_until_answered(*job));
        tested.run(milliseconds(300));
    }

    bool run_until_answered(deployment::pending_answer const& job)
    {
        return tested.run_until(
            [&]
            {
                return job.status != 0;
            },
            answer_timeout);
    }

    void restart_all()
    {
        for (auto const& id : ids)
            tested.platform().restart_endpoint(id);
    }

    deployment tested;
    std::vector<std::string> ids;
};

} // namespace

// Clock, labels and capacity are those of the former process (review/7, 9).
TEST_CASE("an endpoint that has restarted while it was idle gets no start "
          "before its new process is listed")
{
    restarted_fixture f(2);
    auto& platform = f.tested.platform();
    // The records of the new processes can't be read.
    platform.faults().store_silent = true;
    f.restart_all();
    auto const job = f.tested.submit(0, 2, 2);
    f.tested.run(milliseconds(400));
    CHECK(platform.findings().unlisted_starts.empty());
    platform.faults().store_silent = false;
    REQUIRE(f.run_until_answered(*job));
    CHECK(job->status == 200);
    CHECK(platform.findings().unlisted_starts.empty());
}

// The lease of the new process outlived the one that the dispatcher counted
// (TWICE).
TEST_CASE("a task that was started on a restarted endpoint does not run twice "
          "when the endpoint falls silent")
{
    restarted_fixture f(2);
    auto& platform = f.tested.platform();
    platform.configure(2, milliseconds(2'000));
    f.tested.run(milliseconds(500));
    auto const before = platform.findings().starts;
    f.restart_all();
    f.tested.submit(0, 2, 1);
    REQUIRE(f.tested.run_until(
        [&]
        {
            return platform.findings().starts > before;
        },
        milliseconds(2'000)));
    platform.faults().silent_endpoints.insert(
        platform.findings().last_started_on);
    // Until the task starts elsewhere.
    CHECK(f.tested.run_until(
        [&]
        {
            return platform.findings().starts == before + 2;
        },
        milliseconds(10'000)));
    CHECK(platform.findings().concurrent_runs.empty());
}

// The lease was reckoned by the clock of the former process, and the ends that
// the next one discards were never received.
TEST_CASE("a restarted endpoint gets no list that renews leases or "
          "acknowledges ends before its new process is listed")
{
    restarted_fixture f(2);
    auto& platform = f.tested.platform();
    platform.configure(2, milliseconds(600));
    f.tested.run(milliseconds(500));
    auto const before = platform.findings().starts;
    auto const job = f.tested.submit(0, 2, 4);
    REQUIRE(f.tested.run_until(
        [&]
        {
            return platform.findings().starts == before + 4;
        },
        milliseconds(2'000)));
    f.tested.run(milliseconds(100));
    f.restart_all();
    REQUIRE(f.run_until_answered(*job));
    CHECK(platform.findings().unlisted_renewals.empty());
    CHECK(platform.findings().concurrent_runs.empty());
}

// Tasks ran where their caller had excluded them (review/9, ROUTE).
TEST_CASE("a task starts on no endpoint that has lost the label it requires in "
          "an unnoticed restart")
{
    restarted_fixture f(2);
    auto& platform = f.tested.platform();
    platform.faults().store_silent = true;
    for (auto const& id : f.ids)
        platform.restart_endpoint_as(id, {"b"}, 16'000);
    auto const before = platform.findings().starts;
    f.tested.submit_step(0, 2, R"("count":4,"requires":"a")");
    f.tested.run(milliseconds(400));
    platform.faults().store_silent = false;
    f.tested.run(milliseconds(1'500));
    CHECK(platform.findings().starts == before);
}

// The next process rejected what did not fit; one that does not guard its
// capacity would have started it (LIMIT).
TEST_CASE("an endpoint that has come back with less capacity unnoticed gets no "
          "start that does not fit")
{
    restarted_fixture f(2);
    auto& platform = f.tested.platform();
    platform.faults().store_silent = true;
    for (auto const& id : f.ids)
        platform.restart_endpoint_as(id, {"a"}, 6'800);
    auto const job = f.tested.submit(0, 2, 4);
    f.tested.run(milliseconds(400));
    platform.faults().store_silent = false;
    REQUIRE(f.run_until_answered(*job));
    CHECK(job->status == 200);
    CHECK(platform.findings().rejected_for_room == 0);
}
