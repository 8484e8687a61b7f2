#include "entry_process.hpp"

#include <future>

using namespace entry_test;

namespace
{

constexpr int long_run_ms = 1'000;

void wait_until_ready(entry const& used)
{
    REQUIRE(eventually(
        [&]
        {
            return used.ready();
        }));
}

std::future<reply> submit_in_background(entry const& used,
                                        std::string const& body)
{
    return std::async(std::launch::async,
                      [&used, body]
                      {
                          return used.submit(body);
                      });
}

bool runs_jobs(entry const& used, std::string const& count)
{
    return call(used.operators, "GET", "/status").value("running_jobs") ==
           count;
}

} // namespace

TEST_CASE("a draining entry refuses new work and answers what runs")
{
    surroundings world;
    world.configure();
    entry used(world.folder, world.platform_port);
    wait_until_ready(used);
    auto const id = used.new_id("long");
    auto const later = used.new_id("later");
    auto running = submit_in_background(used, job_body(id, long_run_ms));
    REQUIRE(eventually(
        [&]
        {
            return runs_jobs(used, "1");
        }));
    CHECK(call(used.operators, "POST", "/drain").status() == 202);
    CHECK_FALSE(used.ready());
    auto const refused = used.submit(job_body(later));
    CHECK(refused.status() == 503);
    CHECK(refused.value("code") == "201");
    CHECK(refused.value("ran") == "not_run");
    auto const answer = running.get();
    CHECK(answer.value("code") == "0");
    CHECK(used.program.wait() == 0);
}

TEST_CASE("a drain cuts no call that another entry answers")
{
    surroundings world;
    world.configure();
    entry home(world.folder, world.platform_port);
    entry_options options;
    options.peers = {home.peer};
    entry between(world.folder, world.platform_port, options);
    wait_until_ready(home);
    wait_until_ready(between);
    auto const id = home.new_id("forwarded");
    auto running = submit_in_background(between, job_body(id, long_run_ms));
    REQUIRE(eventually(
        [&]
        {
            return runs_jobs(home, "1");
        }));
    between.program.signal(SIGTERM);
    auto const answer = running.get();
    INFO(answer.head, answer.body);
    CHECK(answer.value("code") == "0");
    CHECK(between.program.wait() == 0);
}

TEST_CASE("a drain at its limit answers what it can't wait for as unknown")
{
    constexpr int endless_run_ms = 15'000;
    surroundings world;
    world.configure();
    entry home(world.folder, world.platform_port);
    entry_options options;
    options.peers = {home.peer};
    options.more = "[drain]\nlimit_ms = 1000\n";
    entry between(world.folder, world.platform_port, options);
    wait_until_ready(home);
    wait_until_ready(between);
    auto const id = home.new_id("forwarded");
    auto running = submit_in_background(between, job_body(id, endless_run_ms));
    REQUIRE(eventually(
        [&]
        {
            return runs_jobs(home, "1");
        }));
    between.program.signal(SIGTERM);
    auto const answer = running.get();
    INFO(answer.head, answer.body);
    CHECK(answer.value("code") == "300");
    CHECK(answer.value("ran") == "unknown");
    CHECK(between.program.wait() == 0);
}
