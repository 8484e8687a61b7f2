#include "deployment.hpp"

#include <doctest/doctest.h>

using namespace masticshift;
using masticshift::gateway::deployment;

namespace
{

constexpr milliseconds patience{3'500};

bool answered(deployment& world,
              std::vector<std::shared_ptr<deployment::pending>> const& jobs)
{
    return world.run_until(
        [&]
        {
            return std::ranges::all_of(jobs,
                                       [](auto const& job)
                                       {
                                           return job->status != 0;
                                       });
        },
        patience);
}

std::vector<std::shared_ptr<deployment::pending>>
submit_many(deployment& world, std::size_t entries, unsigned first,
            unsigned count)
{
    std::vector<std::shared_ptr<deployment::pending>> jobs;
    for (unsigned i = 0; i < count; ++i)
    {
        jobs.push_back(world.submit(i % entries, first + i));
        world.run(milliseconds(10));
    }
    return jobs;
}

long completed(std::vector<std::shared_ptr<deployment::pending>> const& jobs)
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

TEST_CASE("a job is served over two data centres, from any entry")
{
    deployment world;
    world.add_endpoints("north", 2);
    world.add_endpoints("south", 2);
    world.add_gateway("north", 0.25);
    world.add_gateway("south", 0.25);
    REQUIRE(world.run_until_ready(0));
    REQUIRE(world.run_until_ready(1));
    auto const jobs = submit_many(world, 2, 1, 10);
    REQUIRE(answered(world, jobs));
    CHECK(completed(jobs) == 10);
    CHECK(world.platform().findings().starts == 20);
    CHECK(world.platform().findings().doubled.empty());
}

TEST_CASE("what is not served is refused with its reason and starts nothing")
{
    deployment world;
    world.add_endpoints("north", 1);
    world.add_gateway("north", 0.25);
    REQUIRE(world.run_until_ready(0));
    auto const unknown = world.submit(0, 1, 1, "/none/");
    auto const gang = world.submit(0, 2, 1, "/q/", R"(,"repeat_count":3)");
    auto const huge = world.submit(0, 3, 100'000);
    REQUIRE(answered(world, {unknown, gang, huge}));
    CHECK(unknown->status == 404);
    CHECK(gang->status == 503);
    CHECK_FALSE(gang->retry_after.empty());
    CHECK(huge->status == 400);
    CHECK(world.platform().findings().starts == 0);
}

TEST_CASE("an entry without a configuration is not ready and refuses")
{
    deployment world;
    world.platform().faults().store_down = true;
    world.add_endpoints("north", 1);
    world.add_gateway("north", 0.25);
    world.run(milliseconds(1'200));
    CHECK(world.status_of(0) == 503);
    auto const job = world.submit(0, 1);
    REQUIRE(answered(world, {job}));
    CHECK(job->status == 503);
    world.platform().faults().store_down = false;
    CHECK(world.run_until_ready(0));
}

TEST_CASE("jobs are served while the store is away, and after it forgot")
{
    deployment world;
    world.add_endpoints("north", 2);
    world.add_gateway("north", 0.25);
    REQUIRE(world.run_until_ready(0));
    SUBCASE("down")
    {
        world.platform().faults().store_down = true;
    }
    SUBCASE("silent")
    {
        world.platform().faults().store_silent = true;
    }
    SUBCASE("history gone")
    {
        world.platform().faults().history_gone = true;
    }
    world.run(milliseconds(1'500));
    auto const jobs = submit_many(world, 1, 1, 5);
    REQUIRE(answered(world, jobs));
    CHECK(completed(jobs) == 5);
    CHECK(world.status_of(0) == 200);
}

TEST_CASE("a new configuration is in force everywhere within two seconds")
{
    deployment world;
    world.add_endpoints("north", 1);
    world.add_gateway("north", 0.25);
    world.add_gateway("north", 0.25);
    REQUIRE(world.run_until_ready(0));
    REQUIRE(world.run_until_ready(1));
    world.platform().configure(7, milliseconds(10));
    world.run(milliseconds(1'900));
    auto const jobs = submit_many(world, 2, 1, 2);
    REQUIRE(answered(world, jobs));
    CHECK(completed(jobs) == 2);
}

TEST_CASE("a draining endpoint gets no new work")
{
    deployment world;
    world.add_endpoints("north", 2);
    world.add_gateway("north", 0.25);
    REQUIRE(world.run_until_ready(0));
    world.platform().faults().silent_endpoints.insert("north1");
    world.platform().drain_endpoint("north0");
    world.run(milliseconds(1'500));
    auto const before = world.platform().findings().starts;
    auto const job = world.submit(0, 1, 1);
    REQUIRE(answered(world, {job}));
    CHECK(job->status != 200);
    CHECK(world.platform().findings().starts == before);
}

TEST_CASE("a failed run is repeated, and a job fails after the last one")
{
    deployment world;
    world.add_endpoints("north", 4);
    world.add_gateway("north", 0.25);
    REQUIRE(world.run_until_ready(0));
    world.platform().faults().failed_runs = 100;
    auto const job = world.submit(0, 1, 1);
    REQUIRE(answered(world, {job}));
    CHECK(job->status == 200);
    CHECK(job->body == R"({"state":"failed"})");
    CHECK(world.platform().findings().starts == 3);
}

TEST_CASE("a drain hands over, cuts no answer and refuses nothing that can run")
{
    deployment world;
    world.add_endpoints("north", 3);
    world.add_gateway("north", 0.5);
    world.add_gateway("north", 0.25);
    REQUIRE(world.run_until_ready(0));
    REQUIRE(world.run_until_ready(1));
    auto jobs = submit_many(world, 2, 1, 10);
    world.at(0).drain();
    auto const later = submit_many(world, 2, 100, 30);
    jobs.insert(jobs.end(), later.begin(), later.end());
    REQUIRE(answered(world, jobs));
    CHECK(completed(jobs) == 40);
    CHECK(world.status_of(0) == 503);
    CHECK(world.run_until(
        [&]
        {
            return world.stopped(0);
        },
        milliseconds(6'000)));
    CHECK(world.platform().findings().doubled.empty());
}

TEST_CASE("orders without an answer and late ones never double a run")
{
    deployment world(7);
    world.add_endpoints("north", 4);
    world.add_gateway("north", 0.25);
    REQUIRE(world.run_until_ready(0));
    world.platform().faults().lost_orders = 30;
    world.platform().faults().late_orders = 50;
    auto const jobs = submit_many(world, 1, 1, 60);
    REQUIRE(answered(world, jobs));
    CHECK(world.platform().findings().doubled.empty());
    CHECK(completed(jobs) > 30);
}

TEST_CASE("endpoints that fall silent or restart cost only what ran there")
{
    deployment world;
    world.add_endpoints("north", 4);
    world.add_gateway("north", 0.25);
    REQUIRE(world.run_until_ready(0));
    auto jobs = submit_many(world, 1, 1, 10);
    world.platform().faults().silent_endpoints.insert("north0");
    world.platform().restart_endpoint("north1");
    auto const later = submit_many(world, 1, 100, 20);
    jobs.insert(jobs.end(), later.begin(), later.end());
    REQUIRE(answered(world, jobs));
    CHECK(completed(jobs) >= 28);
    CHECK(world.platform().findings().doubled.empty());
}

TEST_CASE("the state tells of cells, endpoints and why they lost trust")
{
    deployment world;
    world.add_endpoints("north", 2);
    world.add_gateway("north", 0.25);
    REQUIRE(world.run_until_ready(0));
    CHECK(world.state_of(0).find(R"("cell":"north/0/1")") != std::string::npos);
    world.platform().faults().failed_runs = 100;
    REQUIRE(answered(world, submit_many(world, 1, 900, 4)));
    auto const state = world.state_of(0);
    CHECK(state.find(R"("by_link":{"active":2})") != std::string::npos);
    CHECK(state.find(R"("last_failure":"run_failed")") != std::string::npos);
}

TEST_CASE("jobs are completed although orders get lost")
{
    deployment world;
    world.add_endpoints("north", 4);
    world.add_gateway("north", 0.25);
    REQUIRE(world.run_until_ready(0));
    REQUIRE(answered(world, submit_many(world, 1, 1'000, 20)));
    world.platform().faults().lost_orders = 15;
    auto const jobs = submit_many(world, 1, 1'100, 30);
    REQUIRE(answered(world, jobs));
    CHECK(completed(jobs) >= 27);
    CHECK(world.platform().findings().doubled.empty());
}
