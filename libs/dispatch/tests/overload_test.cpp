#include "dispatcher_fixture.hpp"

using namespace masticshift;
using namespace masticshift::dispatch;
using namespace masticshift::dispatch::testing;

namespace
{

job_spec urgent(std::string const& id, int tasks)
{
    auto spec = make_spec(id, tasks);
    spec.queue = "urgent";
    spec.priority = 0;
    return spec;
}

/// Has longer tasks than the urgent jobs.
job_spec large(std::string const& id, int tasks)
{
    auto spec = make_spec(id, tasks);
    spec.queue = "large";
    spec.priority = 2;
    spec.steps[0].estimate = milliseconds(200);
    return spec;
}

std::vector<std::string> started_jobs(dispatcher& tested)
{
    std::vector<std::string> ids;
    for (auto const& order : tested.take_starts())
        ids.push_back(order.run.task.substr(0, order.run.task.find('.')));
    return ids;
}

} // namespace

TEST_CASE("an urgent job does not wait behind a large one that has to start "
          "earlier")
{
    dispatcher_fixture f(1);
    f.tested.submit(urgent("first", 2), "home", f.now);
    f.tested.submit(large("large", 2), "home", f.now);
    f.deliver_orders();
    auto spec = urgent("urgent", 2);
    spec.target_latency += milliseconds(300);
    f.tested.submit(spec, "home", f.now);
    f.advance(milliseconds(61));
    f.read("e0");
    CHECK(started_jobs(f.tested) ==
          std::vector<std::string>{"urgent", "urgent"});
}

TEST_CASE("a large job is not starved by urgent ones beyond their share")
{
    dispatcher_fixture f(1);
    f.tested.submit(large("running", 2), "home", f.now);
    f.tested.submit(large("large", 2), "home", f.now);
    int ahead = 0;
    for (int i = 0; i < 40; ++i)
    {
        auto spec = urgent("urgent" + std::to_string(i), 2);
        spec.target_latency = milliseconds(10'000);
        spec.caller_timeout = milliseconds(20'000);
        f.tested.submit(spec, "home", f.now);
    }
    bool started = false;
    for (; ahead < 40 && !started; ++ahead)
    {
        f.deliver_orders();
        f.advance(milliseconds(61));
        f.read("e0");
        for (auto const& [key, name] : f.models)
            started = started || std::ranges::any_of(
                                     name.starts(),
                                     [](run_key const& run)
                                     {
                                         return run.task.starts_with("large");
                                     });
    }
    CHECK(started);
    CHECK(ahead < 20);
}

TEST_CASE("a waiting job that an urgent one makes late is refused at once, and "
          "told when to come back; one that has waited long is kept")
{
    dispatcher_fixture f(1);
    f.tested.submit(urgent("running", 2), "home", f.now);
    f.deliver_orders();
    f.tested.submit(large("kept", 1), "home", f.now);
    f.advance(milliseconds(100));
    f.tested.submit(large("displaced", 1), "home", f.now);
    CHECK(f.tested.take_finished().empty());
    auto spec = urgent("urgent", 8);
    spec.target_latency = milliseconds(1'000);
    f.tested.submit(spec, "home", f.now);
    auto const finished = f.tested.take_finished();
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].id == "displaced");
    CHECK(finished[0].result.end == job_end::refused);
    CHECK(finished[0].result.reason == end_reason::displaced);
    CHECK(finished[0].result.retry_after >= milliseconds(200));
}

TEST_CASE("expected waits rise with the priority, and are unknown while all "
          "jobs have the same")
{
    dispatcher_fixture f(1);
    f.tested.submit(urgent("a", 4), "home", f.now);
    CHECK(f.tested.expected_waits(f.now).empty());
    f.tested.submit(large("b", 2), "home", f.now);
    auto const waits = f.tested.expected_waits(f.now);
    REQUIRE(waits.size() == 3);
    CHECK(waits[0] > milliseconds(0));
    CHECK(waits[0] < waits[2]);
}
