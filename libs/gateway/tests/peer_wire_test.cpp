#include "peer_wire.hpp"

#include <doctest/doctest.h>

#include <limits>

using namespace masticshift;
using namespace masticshift::gateway;

namespace
{

constexpr auto largest = std::numeric_limits<std::int64_t>::max();
constexpr auto smallest = std::numeric_limits<std::int64_t>::min();

wire::dispatch_job make_job()
{
    wire::dispatch_job job;
    job.id = "0123456789abcdef";
    wire::dispatch_step step;
    step.task_count = 2;
    step.processor = 500;
    step.estimate_ms = 60;
    job.steps.push_back(step);
    job.slack_factor = 1.5;
    return job;
}

} // namespace

TEST_CASE("a heartbeat with extreme numbers has ages and tokens within bounds")
{
    for (auto const extreme : {smallest, largest})
    {
        wire::pulse pulse;
        pulse.highest_token = extreme;
        wire::relayed_claim relayed;
        relayed.age_ms = extreme;
        relayed.claim.backlog_ms = extreme;
        relayed.claim.token = extreme;
        pulse.relayed.push_back(relayed);
        auto const decoded = from_wire(pulse);
        REQUIRE(decoded.relayed.size() == 1);
        CHECK(decoded.relayed[0].age >= milliseconds(0));
        CHECK(decoded.relayed[0].age <= milliseconds(3'600'000));
        CHECK(decoded.relayed[0].claim.backlog >= milliseconds(0));
        CHECK(decoded.relayed[0].claim.backlog <= milliseconds(3'600'000));
        constexpr std::int64_t exact_in_json = std::int64_t(1) << 53;
        CHECK(decoded.highest_token < exact_in_json);
        CHECK(decoded.relayed[0].claim.token < exact_in_json);
    }
}

TEST_CASE("a heartbeat is the same after encoding and decoding")
{
    dispatch::entry_heartbeat heartbeat;
    heartbeat.sender = {"10.0.0.1:7720", 7, "north", 250};
    heartbeat.is_periodic = true;
    heartbeat.wants_claims = true;
    dispatch::dispatch_claim claim;
    claim.cell = "north/0/1";
    claim.token = 12;
    claim.backlog = milliseconds(30);
    heartbeat.relayed.push_back(
        {{"10.0.0.2:7720", 8, "north", 500}, claim, milliseconds(40)});
    CHECK_FALSE(from_wire(to_wire(heartbeat)).last_reading.has_value());
    heartbeat.last_reading = dispatch::clock_reading{9, milliseconds(50)};
    heartbeat.withdrawals.push_back({"0123456789abcdef", "north/0/1", 3});
    auto const decoded = from_wire(to_wire(heartbeat));
    CHECK(decoded.sender == heartbeat.sender);
    REQUIRE(decoded.last_reading.has_value());
    CHECK(decoded.last_reading->incarnation == 9);
    CHECK(decoded.last_reading->time == milliseconds(50));
    CHECK(decoded.withdrawals == heartbeat.withdrawals);
    CHECK(decoded.is_periodic);
    CHECK(decoded.wants_claims);
    REQUIRE(decoded.relayed.size() == 1);
    CHECK(decoded.relayed[0].holder == heartbeat.relayed[0].holder);
    CHECK(decoded.relayed[0].claim.cell == claim.cell);
    CHECK(decoded.relayed[0].claim.backlog == claim.backlog);
    CHECK(decoded.relayed[0].age == milliseconds(40));
}

TEST_CASE("a job of a peer with numbers out of range is refused")
{
    CHECK(from_wire(make_job()).has_value());
    for (auto const extreme : {smallest, largest})
    {
        auto processor = make_job();
        processor.steps[0].processor = extreme;
        CHECK_FALSE(from_wire(processor).has_value());
        auto estimate = make_job();
        estimate.steps[0].estimate_ms = extreme;
        CHECK_FALSE(from_wire(estimate).has_value());
        auto times = make_job();
        times.patience_ms = times.age_ms = times.target_latency_ms = extreme;
        auto const decoded = from_wire(times);
        REQUIRE(decoded.has_value());
        CHECK(decoded->age >= milliseconds(0));
        CHECK(decoded->age <= milliseconds(3'600'000));
        CHECK(decoded->caller_timeout <= milliseconds(3'600'000));
    }
    auto slack = make_job();
    slack.slack_factor = std::numeric_limits<double>::quiet_NaN();
    CHECK_FALSE(from_wire(slack).has_value());
}

// With such a version no later read of the store would have been applied.
TEST_CASE("evacuated data centres with a version out of range are refused, and "
          "empty names left out")
{
    wire::fetch_evacuations_reply reply;
    reply.version = 7;
    reply.data_centres = {"north", ""};
    auto const decoded = decode_evacuations(reply);
    REQUIRE(decoded.has_value());
    REQUIRE(decoded->rows.size() == 1);
    CHECK(decoded->rows[0].data_centre == "north");
    for (auto const version :
         {std::int64_t(-1), std::numeric_limits<std::int64_t>::max()})
    {
        reply.version = version;
        CHECK_FALSE(decode_evacuations(reply).has_value());
    }
}
