// What counts as a crash of an endpoint under a task.

#include "crashing_task.hpp"

#include <algorithm>
#include <set>

using namespace masticshift;
using namespace masticshift::dispatch;
using namespace masticshift::dispatch::testing;

namespace
{

/// Starts the task of job "a" on a new endpoint, which then refuses connections
/// until the lease has ended. Returns the endpoint.
std::string start_and_refuse(dispatcher_fixture& f)
{
    auto const starts = f.tested.take_starts();
    REQUIRE(starts.size() == 1);
    auto id = starts[0].endpoint;
    f.tested.start_answered(
        starts[0], f.models.at(id).start(starts[0], f.clock(), run_time, false),
        f.clock(), f.now);
    for (int i = 0; i < 150; ++i)
    {
        f.tested.list_failed(id, order_response::connection_refused, f.now);
        f.advance(milliseconds(10));
    }
    return id;
}

} // namespace

// A link that refuses connections may hide an endpoint that runs on.
TEST_CASE("refused connections alone are no crash under a task")
{
    dispatcher_fixture f(4);
    auto spec = make_spec("a", 1);
    spec.caller_timeout = milliseconds(60'000);
    f.tested.submit(spec, "home", f.now);
    for (int i = 0; i < 2; ++i)
        start_and_refuse(f);
    CHECK(f.tested.take_finished().empty());
    CHECK(f.tested.take_starts().size() == 1);
}

TEST_CASE("a crash counts under a task whose lease ended before the next "
          "process of its endpoint answered")
{
    dispatcher_fixture f(4);
    auto spec = make_spec("a", 1);
    spec.caller_timeout = milliseconds(60'000);
    f.tested.submit(spec, "home", f.now);
    for (int i = 0; i < 2; ++i)
    {
        auto const id = start_and_refuse(f);
        f.tested.list_failed(id, order_response::other_instance, f.now);
    }
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.end == job_end::failed);
    CHECK(finished[0].result.reason == end_reason::endpoints_crashed);
}

// Seen as LOST: the lease ended between the two answers that show the crash,
// and it counted twice.
TEST_CASE("a crash that is noticed before and after the end of a lease counts "
          "once")
{
    dispatcher_fixture f(4);
    auto spec = make_spec("a", 1);
    spec.caller_timeout = milliseconds(60'000);
    f.tested.submit(spec, "home", f.now);
    auto const starts = f.tested.take_starts();
    REQUIRE(starts.size() == 1);
    auto const id = starts[0].endpoint;
    f.tested.start_answered(
        starts[0], f.models.at(id).start(starts[0], f.clock(), run_time, false),
        f.clock(), f.now);
    f.tested.list_failed(id, order_response::connection_refused, f.now);
    f.advance(milliseconds(20));
    f.tested.list_failed(id, order_response::other_instance, f.now);
    f.advance(milliseconds(1'500));
    f.tested.list_failed(id, order_response::other_instance, f.now);
    CHECK(f.tested.take_finished().empty());
    CHECK(f.tested.take_starts().size() == 1);
}

// The age of a run at the crash was taken from the answer of the next process.
TEST_CASE("a task is judged by its age when its endpoint refused connections, "
          "not when the next process answers")
{
    dispatcher_fixture f(4);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    auto const starts = f.tested.take_starts();
    REQUIRE(starts.size() == 1);
    auto const id = starts[0].endpoint;
    auto& model = f.models.at(id);
    f.tested.start_answered(starts[0],
                            model.start(starts[0], f.clock(), run_time, false),
                            f.clock(), f.now);
    f.advance(milliseconds(20));
    f.tested.list_failed(id, order_response::connection_refused, f.now);
    model.restart(2'000);
    f.advance(milliseconds(300));
    f.tested.take_decisions();
    f.read(id);
    std::vector<std::string> outcomes;
    for (auto const& each : f.tested.take_decisions())
    {
        if (each.event == "task_ended")
            outcomes.emplace_back(each.outcome);
    }
    CHECK(outcomes == std::vector<std::string>{"crashed"});
}

TEST_CASE("an endpoint that has left as planned has not crashed")
{
    dispatcher_fixture f(4);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    for (int i = 0; i < 2; ++i)
    {
        auto const starts = f.tested.take_starts();
        REQUIRE(starts.size() == 1);
        auto const id = starts[0].endpoint;
        f.tested.start_answered(
            starts[0],
            f.models.at(id).start(starts[0], f.clock(), run_time, false),
            f.clock(), f.now);
        auto record = make_endpoint(id);
        record.stage = endpoint_stage::draining;
        f.tested.update_endpoint(record);
        f.tested.list_failed(id, order_response::connection_refused, f.now);
        f.advance(milliseconds(1'500));
    }
    CHECK(f.tested.take_finished().empty());
    CHECK(f.tested.take_starts().size() == 1);
}

// Seen as LOST: a harmless job was shown as failed after one crash and one
// order that its endpoint never received.
TEST_CASE("a start that a crashed endpoint has not confirmed is no crash under "
          "its task")
{
    dispatcher_fixture f(6);
    auto spec = make_spec("a", 1);
    spec.caller_timeout = milliseconds(60'000);
    f.tested.submit(spec, "home", f.now);
    CHECK(start_and_crash(f, "a") == 1);
    auto const lost = f.tested.take_starts();
    REQUIRE(lost.size() == 1);
    f.tested.start_answered(lost[0], order_response::unanswered, std::nullopt,
                            f.now);
    f.tested.list_failed(lost[0].endpoint, order_response::connection_refused,
                         f.now);
    f.tested.take_starts();
    f.advance(milliseconds(1'500));
    f.read_all();
    CHECK(f.tested.take_finished().empty());
    CHECK(f.tested.take_starts().size() == 1);
}

// A process that was paused finds endpoints crashed; what ran there may have
// ended before.
TEST_CASE("a crash that is noticed long after the last list is not certain")
{
    dispatcher_fixture f(6);
    auto spec = make_spec("a", 1);
    spec.caller_timeout = milliseconds(60'000);
    f.tested.submit(spec, "home", f.now);
    for (int i = 0; i < 2; ++i)
    {
        auto const starts = f.tested.take_starts();
        REQUIRE(starts.size() == 1);
        auto const id = starts[0].endpoint;
        f.tested.start_answered(
            starts[0],
            f.models.at(id).start(starts[0], f.clock(), run_time, false),
            f.clock(), f.now);
        f.now += milliseconds(3'000);
        f.tested.list_failed(id, order_response::connection_refused, f.now);
        f.advance(milliseconds(10));
    }
    CHECK(f.tested.take_finished().empty());
    CHECK(f.tested.take_starts().size() == 1);
}

TEST_CASE("a crash while a run is being stopped is not certain")
{
    dispatcher_fixture f(6);
    auto const spec = make_spec("a", 1);
    for (int i = 0; i < 2; ++i)
    {
        f.tested.submit(spec, "home", f.now);
        auto const starts = f.tested.take_starts();
        REQUIRE(starts.size() == 1);
        auto const id = starts[0].endpoint;
        auto const response =
            f.models.at(id).start(starts[0], f.clock(), run_time, false);
        REQUIRE(response == order_response::accepted);
        f.tested.start_answered(starts[0], response, f.clock(), f.now);
        f.tested.withdraw("a", "home", f.now);
        f.tested.list_failed(id, order_response::connection_refused, f.now);
        f.models.at(id).restart(2'000);
        f.advance(milliseconds(1'500));
        f.tested.take_finished();
    }
    f.tested.submit(spec, "home", f.now);
    CHECK(f.tested.take_finished().empty());
}

// Bystanders would run alone afterwards and take capacity from others.
TEST_CASE("a task that was running for a while is not suspected when its "
          "endpoint crashes just after the start of another one")
{
    dispatcher_fixture f(3);
    auto const confirm = [&](start_order const& order)
    {
        auto const response =
            f.models.at(order.endpoint)
                .start(order, f.clock(), milliseconds(900), false);
        f.tested.start_answered(order, response, f.clock(), f.now);
    };
    auto const replace = [&](std::string const& id)
    {
        f.tested.list_failed(id, order_response::connection_refused, f.now);
        for (int i = 0; i < 2; ++i)
            f.tested.list_failed(id, order_response::other_instance, f.now);
    };
    f.tested.submit(make_spec("harmless", 1), "home", f.now);
    auto const first = f.tested.take_starts();
    REQUIRE(first.size() == 1);
    confirm(first[0]);
    f.advance(milliseconds(60));
    f.read_all();
    f.tested.submit(make_spec("deadly", 1), "home", f.now);
    auto const second = f.tested.take_starts();
    REQUIRE(second.size() == 1);
    REQUIRE(second[0].endpoint == first[0].endpoint);
    confirm(second[0]);
    f.advance(milliseconds(20));
    replace(first[0].endpoint);
    auto const again = f.tested.take_starts();
    REQUIRE(again.size() == 2);
    std::map<std::string, std::string> placed;
    for (auto const& order : again)
        placed[order.run.task] = order.endpoint;
    auto const place = placed.at("harmless.0.0.0");
    CHECK(place != placed.at("deadly.0.0.0"));
    f.tested.submit(make_spec("later", 1), "home", f.now);
    auto const later = f.tested.take_starts();
    REQUIRE(later.size() == 1);
    CHECK(later[0].endpoint == place);
    std::vector<std::string> outcomes;
    for (auto const& each : f.tested.take_decisions())
    {
        if (each.event == "task_ended")
            outcomes.emplace_back(each.outcome);
    }
    std::ranges::sort(outcomes);
    CHECK(outcomes ==
          std::vector<std::string>{"crashed", "crashed_as_bystander"});
}
