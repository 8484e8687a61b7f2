// Tasks that crash the endpoints that run them.

#include "crashing_task.hpp"

#include <algorithm>
#include <set>

using namespace masticshift;
using namespace masticshift::dispatch;
using namespace masticshift::dispatch::testing;

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
