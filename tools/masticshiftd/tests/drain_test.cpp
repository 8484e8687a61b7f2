#include "entry_process.hpp"

#include <future>

using namespace entry_test;

namespace
{

constexpr int long_run_ms = 1'000;

void wait_until_ready(entry const& tested)
{
    REQUIRE(eventually(
        [&]
        {
            return tested.ready();
        }));
}

std::future<http_response> submit_in_background(entry const& tested,
                                                std::string const& body)
{
    return std::async(std::launch::async,
                      [&tested, body]
                      {
                          return tested.submit(body);
                      });
}

bool has_running_jobs(entry const& tested, std::string const& count)
{
    return call(tested.operator_port, "GET", "/status").value("running_jobs") ==
           count;
}

} // namespace

TEST_CASE("a draining entry refuses new jobs and answers the running ones")
{
    test_environment environment;
    environment.configure();
    entry tested(environment.folder, environment.platform_port);
    wait_until_ready(tested);
    auto const id = tested.new_id("long");
    auto const later = tested.new_id("later");
    auto running = submit_in_background(tested, job_body(id, long_run_ms));
    REQUIRE(eventually(
        [&]
        {
            return has_running_jobs(tested, "1");
        }));
    CHECK(call(tested.operator_port, "POST", "/drain").status() == 202);
    CHECK_FALSE(tested.ready());
    auto const refused = tested.submit(job_body(later));
    CHECK(refused.status() == 503);
    CHECK(refused.value("code") == "201");
    CHECK(refused.value("ran") == "not_run");
    auto const answer = running.get();
    CHECK(answer.value("code") == "0");
    CHECK(tested.program.wait() == 0);
}

TEST_CASE("a draining entry still answers calls that it has forwarded")
{
    test_environment environment;
    environment.configure();
    entry home(environment.folder, environment.platform_port);
    entry_options options;
    options.peers = {home.peer_port};
    entry forwarder(environment.folder, environment.platform_port, options);
    wait_until_ready(home);
    wait_until_ready(forwarder);
    auto const id = home.new_id("forwarded");
    auto running = submit_in_background(forwarder, job_body(id, long_run_ms));
    REQUIRE(eventually(
        [&]
        {
            return has_running_jobs(home, "1");
        }));
    forwarder.program.signal(SIGTERM);
    auto const answer = running.get();
    INFO(answer.head, answer.body);
    CHECK(answer.value("code") == "0");
    CHECK(forwarder.program.wait() == 0);
}

TEST_CASE(
    "at the drain limit open forwarded calls are answered with outcome unknown")
{
    constexpr int endless_run_ms = 15'000;
    test_environment environment;
    environment.configure();
    entry home(environment.folder, environment.platform_port);
    entry_options options;
    options.peers = {home.peer_port};
    options.extra_toml = "[drain]\nlimit_ms = 1000\n";
    entry forwarder(environment.folder, environment.platform_port, options);
    wait_until_ready(home);
    wait_until_ready(forwarder);
    auto const id = home.new_id("forwarded");
    auto running =
        submit_in_background(forwarder, job_body(id, endless_run_ms));
    REQUIRE(eventually(
        [&]
        {
            return has_running_jobs(home, "1");
        }));
    forwarder.program.signal(SIGTERM);
    auto const answer = running.get();
    INFO(answer.head, answer.body);
    CHECK(answer.value("code") == "300");
    CHECK(answer.value("ran") == "unknown");
    CHECK(forwarder.program.wait() == 0);
}
