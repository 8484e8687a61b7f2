// Tasks that crash the endpoints that run them.

#include "dispatcher_fixture.hpp"

#include <algorithm>
#include <iterator>
#include <set>

using namespace masticshift;
using namespace masticshift::dispatch;
using namespace masticshift::dispatch::testing;

namespace
{

/// Carries out the pending starts and restarts each endpoint that has started a
/// task of this job. Returns the number of these starts.
int start_and_crash(dispatcher_fixture& f, std::string const& job)
{
    int crashes = 0;
    for (auto const& order : f.tested.take_starts())
    {
        auto& model = f.models.at(order.endpoint);
        auto const response = model.start(order, f.clock(), run_time, false);
        f.tested.start_answered(order, response, f.clock(), f.now);
        if (response != order_response::accepted ||
            !order.run.task.starts_with(job + "."))
            continue;
        model.restart(model.record().started_ms + 1);
        ++crashes;
    }
    f.advance(milliseconds(10));
    f.read_all();
    return crashes;
}

std::vector<finished_job> ended_of(std::vector<finished_job> const& all,
                                   std::string const& job)
{
    std::vector<finished_job> found;
    std::ranges::copy_if(all, std::back_inserter(found),
                         [&](auto const& each)
                         {
                             return each.id == job;
                         });
    return found;
}

} // namespace

// One request must not crash endpoint after endpoint.
TEST_CASE("a task under which two endpoints have crashed is given up, and its "
          "job has failed")
{
    dispatcher_fixture f(8);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    int crashes = 0;
    for (int i = 0; i < 8; ++i)
        crashes += start_and_crash(f, "a");
    CHECK(crashes == 2);
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.end == job_end::failed);
}

// A caller submits its job again after a lost answer.
TEST_CASE("endpoints that crashed under a task count when its job is submitted "
          "again")
{
    dispatcher_fixture f(8);
    f.tested.submit(make_spec("a", 1), "home", f.now);
    CHECK(start_and_crash(f, "a") == 1);
    f.tested.withdraw("a", "home", f.now);
    f.advance(milliseconds(1'300));
    f.deliver_orders();
    f.read_all();
    f.tested.take_finished();
    f.tested.submit(make_spec("a", 1), "other", f.now);
    int crashes = 0;
    for (int i = 0; i < 8; ++i)
        crashes += start_and_crash(f, "a");
    CHECK(crashes == 1);
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.end == job_end::failed);
}

// Tasks that ran beside one that crashes endpoints lose their endpoint too.
TEST_CASE("tasks that lost an endpoint with others run alone afterwards")
{
    dispatcher_fixture f(4);
    f.tested.submit(make_spec("deadly", 1), "home", f.now);
    f.tested.submit(make_spec("harmless", 1), "home", f.now);
    auto const first = f.tested.take_starts();
    REQUIRE(first.size() == 2);
    REQUIRE(first[0].endpoint == first[1].endpoint);
    auto& model = f.models.at(first[0].endpoint);
    for (auto const& order : first)
        f.tested.start_answered(order,
                                model.start(order, f.clock(), run_time, false),
                                f.clock(), f.now);
    model.restart(model.record().started_ms + 1);
    f.advance(milliseconds(10));
    f.read_all();
    f.tested.submit(make_spec("later", 1), "home", f.now);
    std::set<std::string> used;
    auto const again = f.tested.take_starts();
    REQUIRE(again.size() == 3);
    for (auto const& order : again)
        used.insert(order.endpoint);
    CHECK(used.size() == 3);
}

TEST_CASE("a harmless task beside one that crashes its endpoints completes")
{
    dispatcher_fixture f(6);
    f.tested.submit(make_spec("deadly", 1), "home", f.now);
    f.tested.submit(make_spec("harmless", 1), "home", f.now);
    std::vector<finished_job> finished;
    for (int i = 0; i < 12; ++i)
    {
        start_and_crash(f, "deadly");
        f.advance(milliseconds(20));
        f.read_all();
        for (auto const& each : f.tested.take_finished())
            finished.push_back(each);
    }
    auto const harmless = ended_of(finished, "harmless");
    REQUIRE(harmless.size() == 1);
    CHECK(harmless[0].result.end == job_end::completed);
    auto const deadly = ended_of(finished, "deadly");
    REQUIRE(deadly.size() == 1);
    CHECK(deadly[0].result.end == job_end::failed);
}

// An endpoint that is only silent has not crashed.
TEST_CASE("a task whose endpoints fell silent twice is not given up")
{
    dispatcher_fixture f(4);
    auto spec = make_spec("a", 1);
    spec.caller_timeout = milliseconds(60'000);
    f.tested.submit(spec, "home", f.now);
    std::set<std::string> silent;
    for (int i = 0; i < 2; ++i)
    {
        auto const starts = f.tested.take_starts();
        REQUIRE(starts.size() == 1);
        auto const id = starts[0].endpoint;
        f.tested.start_answered(
            starts[0],
            f.models.at(id).start(starts[0], f.clock(), run_time, false),
            f.clock(), f.now);
        silent.insert(id);
        auto const lost_by = f.now + milliseconds(1'500);
        while (f.now < lost_by)
        {
            f.advance(milliseconds(10));
            for (auto const& [other, model] : f.models)
            {
                if (silent.contains(other))
                    f.tested.list_failed(other, order_response::unanswered,
                                         f.now);
                else
                    f.read(other);
            }
        }
    }
    CHECK(f.tested.take_finished().empty());
    CHECK(f.tested.take_starts().size() == 1);
}

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

TEST_CASE(
    "a task that may have crashed three endpoints before they confirmed it "
    "is not started again")
{
    dispatcher_fixture f(8);
    auto spec = make_spec("a", 1);
    spec.caller_timeout = milliseconds(60'000);
    int starts = 0;
    for (int submission = 0; submission < 3; ++submission)
    {
        f.tested.submit(spec, "home", f.now);
        for (int i = 0; i < 8; ++i)
        {
            for (auto const& order : f.tested.take_starts())
            {
                ++starts;
                f.tested.start_answered(order, order_response::unanswered,
                                        std::nullopt, f.now);
                f.tested.list_failed(order.endpoint,
                                     order_response::other_instance, f.now);
                f.tested.take_starts();
            }
            f.advance(milliseconds(1'100));
        }
        auto const finished = f.tested.take_finished();
        REQUIRE(finished.size() == 1);
        CHECK(finished[0].result.end == job_end::unknown);
    }
    CHECK(starts == 3);
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

// Seen as LOST on a day of deadly-mixed: a job of another kind than the ones
// that crashed endpoints was shown as failed.
TEST_CASE("a task whose endpoints crashed under it and its neighbours is not "
          "given up")
{
    dispatcher_fixture f(2);
    auto const confirm_starts = [&]
    {
        std::string used;
        for (auto const& order : f.tested.take_starts())
        {
            used = order.endpoint;
            auto const response = f.models.at(used).start(
                order, f.clock(), milliseconds(900), false);
            f.tested.start_answered(order, response, f.clock(), f.now);
        }
        return used;
    };
    auto const crash = [&](std::string const& id)
    {
        auto& model = f.models.at(id);
        model.restart(model.record().started_ms + 1);
        f.tested.update_endpoint(model.record());
        for (int i = 0; i < 2; ++i)
            f.tested.list_failed(id, order_response::other_instance, f.now);
    };
    for (auto const* const id : {"harmless", "first"})
    {
        auto spec = make_spec(id, 1);
        spec.caller_timeout = milliseconds(60'000);
        f.tested.submit(spec, "home", f.now);
    }
    auto const shared = confirm_starts();
    f.tested.submit(make_spec("second", 1), "home", f.now);
    auto const other = confirm_starts();
    REQUIRE(shared != other);
    crash(shared);
    // The only free capacity is beside the second task.
    CHECK(confirm_starts() == other);
    CHECK(f.tested.runs() == 2);
    crash(other);
    std::vector<finished_job> finished;
    for (int i = 0; i < 20; ++i)
    {
        f.advance(milliseconds(70));
        f.read_all();
        f.deliver_orders();
        for (auto const& each : f.tested.take_finished())
            finished.push_back(each);
    }
    auto const harmless = ended_of(finished, "harmless");
    REQUIRE(harmless.size() == 1);
    CHECK(harmless[0].result.end == job_end::completed);
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

TEST_CASE("a task whose endpoints crash long after its start is not said to "
          "have failed, and is not started a fourth time")
{
    dispatcher_fixture f(6);
    auto spec = make_spec("a", 1);
    spec.steps[0].estimate = milliseconds(1'000);
    spec.caller_timeout = milliseconds(60'000);
    f.tested.submit(spec, "home", f.now);
    int starts = 0;
    for (int i = 0; i < 6; ++i)
    {
        for (auto const& order : f.tested.take_starts())
        {
            ++starts;
            auto& model = f.models.at(order.endpoint);
            f.tested.start_answered(
                order, model.start(order, f.clock(), milliseconds(900), false),
                f.clock(), f.now);
            f.advance(milliseconds(200));
            f.read(order.endpoint);
            model.restart(model.record().started_ms + 1);
        }
        f.advance(milliseconds(10));
        f.read_all();
    }
    CHECK(starts == 3);
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.end == job_end::unknown);
}
