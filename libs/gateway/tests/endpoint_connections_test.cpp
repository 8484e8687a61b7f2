// How many connections a dispatcher makes while endpoints fail.

#include "deployment.hpp"

#include <doctest/doctest.h>
#include <test_support/network_thread.hpp>
#include <test_support/relay.hpp>

using namespace masticshift;
using masticshift::gateway::deployment;
using masticshift::test_support::link_state;

namespace
{

constexpr int endpoints = 8;
constexpr milliseconds job_interval{20};

struct connections_fixture
{
    connections_fixture()
    {
        tested.add_endpoints("north", endpoints);
        for (int i = 0; i < endpoints; ++i)
        {
            auto const id = "north" + std::to_string(i);
            relays.push_back(std::make_unique<test_support::relay>(
                network,
                config::socket_address{"127.0.0.1",
                                       tested.platform().endpoint_port(id)}));
            tested.platform().publish_address(
                id, config::to_string(relays.back()->address()));
        }
        tested.add_gateway("north", 0.25);
        REQUIRE(tested.run_until_ready(0));
    }

    /// Submits jobs for this time.
    void run_jobs(milliseconds length)
    {
        auto const end = steady_clock::now() + length;
        while (steady_clock::now() < end)
        {
            tested.submit(0, ++jobs, 4);
            tested.run(job_interval);
        }
    }

    double failed_connects()
    {
        return tested.metric(0, "masticshift_endpoint_connect_failures_total");
    }

    void set_all(link_state state)
    {
        for (auto const& each : relays)
            each->set(state);
    }

    test_support::network_thread network;
    std::vector<std::unique_ptr<test_support::relay>> relays;
    deployment tested;
    unsigned jobs = 0;
};

} // namespace

// Each outage cost up to ten attempts to connect to each endpoint: 266 in this
// test.
TEST_CASE("endpoints that alternate between down and up get fewer attempts to "
          "connect with each outage, and are used again afterwards")
{
    connections_fixture f;
    f.run_jobs(milliseconds(500));
    for (int i = 0; i < 4; ++i)
    {
        f.set_all(link_state::cut);
        f.run_jobs(milliseconds(700));
        f.set_all(link_state::passing);
        f.run_jobs(milliseconds(700));
    }
    // Ten in the first outage, four, two and one in the next ones, and some by
    // orders.
    CHECK(f.failed_connects() < 20 * endpoints);
    f.tested.run(milliseconds(2'000));
    auto const job = f.tested.submit(0, ++f.jobs, 2 * endpoints);
    REQUIRE(f.tested.run_until(
        [&]
        {
            return job->status != 0;
        },
        milliseconds(4'000)));
    CHECK(job->status == 200);
}
