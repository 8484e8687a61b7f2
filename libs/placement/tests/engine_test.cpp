#include "fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace masticshift;
using namespace masticshift::placement;
using namespace masticshift::placement::testing;

namespace
{

any_engine engine_with(config::operator_configuration const& text,
                       std::string_view policy = "lending")
{
    auto made = make_engine(policy, settings_of());
    REQUIRE(made);
    made->configure(text, at_ms(0));
    return std::move(*made);
}

result_code admit(any_engine& engine, std::uint64_t job, unsigned tasks = 1)
{
    auto const sizes = std::vector<float>(tasks, 1.0F);
    return engine.admit(job_of(job, sizes), at_ms(0)).code;
}

std::vector<std::string>
addresses_of(config::operator_configuration const& text)
{
    std::vector<std::string> result;
    for (auto const& row : text.endpoints)
        result.push_back(row.second.ip + ":" + std::to_string(row.second.port));
    return result;
}

} // namespace

TEST_CASE("each policy has a unique name and makes an engine")
{
    std::set<std::string_view> names;
    for (auto const name : policy_names())
    {
        CHECK(names.insert(name).second);
        CHECK(make_engine(name, settings_of()));
    }
    CHECK_FALSE(make_engine("nothing", settings_of()));
}

TEST_CASE("an engine fills its slots, each once, and queues the rest")
{
    auto engine = engine_with(text_of(2, 2));
    CHECK(admit(engine, 1, 6) == result_code::ok);
    auto const placed = engine.place(at_ms(0));
    REQUIRE(placed.size() == 4);
    std::set<std::pair<std::string, unsigned>> slots;
    for (auto const& start : placed)
        CHECK(slots.insert({start.endpoint->name, start.slot}).second);
    CHECK(engine.place(at_ms(1)).empty());
    engine.finished(placed[0].task, task_result::ok, milliseconds(100),
                    at_ms(100));
    CHECK(engine.place(at_ms(100)).size() == 1);
}

TEST_CASE("tasks start longest first, or in the given order under the baseline "
          "policy")
{
    auto const first_of = [](std::string_view policy)
    {
        auto engine = engine_with(text_of(1, 1), policy);
        CHECK(engine.admit(job_of(1, {1, 3, 2}), at_ms(0)).accepted());
        return engine.place(at_ms(0)).at(0).task.task;
    };
    CHECK(first_of("lending") == 1);
    CHECK(first_of("fixed_share_fifo") == 0);
}

TEST_CASE("a job that can never run is refused with the reason")
{
    auto text = text_of(2);
    text.services["s"].needs_accelerators = 1;
    auto engine = engine_with(text);
    auto const refusal = engine.admit(job_of(1, {1}), at_ms(0));
    CHECK(refusal.code == result_code::never_runnable);
    CHECK(refusal.detail.find("accelerators") != std::string::npos);
    text.endpoints["e1"].accelerators = 1;
    engine.configure(text, at_ms(1));
    CHECK(admit(engine, 1) == result_code::ok);
    CHECK(engine.place(at_ms(1)).at(0).endpoint->name == "e1");
}

TEST_CASE("a refusal names the unavailable dependency, also an indirect one")
{
    auto text = text_of(1);
    text.endpoints["d"] = {"d", "10.0.0.2", 7'100, "dc"};
    text.services["db"] = {"db", {"d"}, {}};
    text.services["mid"] = {"mid", {}, {"db"}};
    text.services["s"].depends_on = {"mid"};
    auto engine = engine_with(text);
    CHECK(admit(engine, 1) == result_code::ok);
    engine.set_leaving({"10.0.0.2:7100"}, at_ms(1));
    auto const refusal = engine.admit(job_of(2, {1}), at_ms(1));
    CHECK(refusal.code == result_code::dependency_unavailable);
    CHECK(refusal.detail.find("'db'") != std::string::npos);
}

TEST_CASE("jobs beyond the queue limit are refused")
{
    auto text = text_of(1, 1);
    text.services["s"].queue_limit = 3;
    auto engine = engine_with(text);
    CHECK(admit(engine, 1, 4) == result_code::too_many_tasks);
    CHECK(admit(engine, 2, 3) == result_code::ok);
    CHECK(admit(engine, 3, 1) == result_code::overloaded);
    engine.cancel(2, at_ms(0));
    CHECK(admit(engine, 3, 1) == result_code::ok);
    CHECK(engine.admit({4, "other", {1}, at_ms(9)}, at_ms(0)).code ==
          result_code::unknown_service);
}

TEST_CASE("a job is refused only if its deadline is clearly unreachable")
{
    auto engine = engine_with(text_of(1, 1));
    auto request = job_of(1, {1});
    // The declared run time is 100 ms.
    request.deadline = at_ms(60);
    CHECK(engine.admit(request, at_ms(0)).accepted());
    request.job = 2;
    request.deadline = at_ms(5);
    CHECK(engine.admit(request, at_ms(0)).code ==
          result_code::deadline_unreachable);
    CHECK(admit(engine, 3, 100) == result_code::ok);
    request.job = 4;
    request.sizes.assign(100, 1);
    request.deadline = at_ms(2'000);
    CHECK(engine.admit(request, at_ms(0)).code ==
          result_code::deadline_unreachable);
}

TEST_CASE("leaving endpoints get no new tasks and their running tasks continue")
{
    auto const text = text_of(2, 1);
    auto engine = engine_with(text);
    CHECK(admit(engine, 1, 3) == result_code::ok);
    auto const placed = engine.place(at_ms(0));
    REQUIRE(placed.size() == 2);
    engine.set_leaving(addresses_of(text), at_ms(1));
    for (auto const& start : placed)
        engine.finished(start.task, task_result::ok, milliseconds(1), at_ms(2));
    CHECK(engine.place(at_ms(3)).empty());
    CHECK(admit(engine, 2) == result_code::dependency_unavailable);
    engine.set_leaving({}, at_ms(4));
    CHECK(engine.place(at_ms(4)).size() == 1);
}

TEST_CASE("a removed service finishes its jobs on its former endpoints")
{
    auto engine = engine_with(text_of(1, 1));
    CHECK(admit(engine, 1, 2) == result_code::ok);
    auto placed = engine.place(at_ms(0));
    REQUIRE(placed.size() == 1);
    engine.configure({}, at_ms(1));
    CHECK(admit(engine, 2) == result_code::unknown_service);
    CHECK(placed[0].endpoint->name == "e0");
    engine.finished(placed[0].task, task_result::ok, milliseconds(1), at_ms(2));
    placed = engine.place(at_ms(2));
    REQUIRE(placed.size() == 1);
    CHECK(placed[0].endpoint->name == "e0");
    CHECK(engine.status(at_ms(2)).services.at(0).retired);
    engine.finished(placed[0].task, task_result::ok, milliseconds(1), at_ms(3));
    CHECK(engine.status(at_ms(3)).services.empty());
}

TEST_CASE(
    "an endpoint whose address changes keeps the old one for earlier jobs")
{
    auto text = text_of(1, 1);
    auto engine = engine_with(text);
    CHECK(admit(engine, 1, 2) == result_code::ok);
    auto const old = engine.place(at_ms(0)).at(0);
    text.endpoints["e0"].port = 9'999;
    engine.configure(text, at_ms(1));
    CHECK(old.endpoint->port == 7'000);
    CHECK(admit(engine, 2) == result_code::ok);
    auto const placed = engine.place(at_ms(1));
    REQUIRE(placed.size() == 1);
    CHECK(placed[0].endpoint->port == 9'999);
    CHECK(placed[0].task.job == 2);
}

TEST_CASE("a requeued task keeps its queue position and has limited attempts")
{
    auto settings = settings_of();
    settings.max_attempts = 2;
    auto engine = *make_engine("lending_fifo", settings);
    engine.configure(text_of(2, 1), at_ms(0));
    CHECK(admit(engine, 1) == result_code::ok);
    auto const first = engine.place(at_ms(0)).at(0);
    CHECK(admit(engine, 2, 2) == result_code::ok);
    auto const other = engine.place(at_ms(1)).at(0);
    engine.finished(first.task, task_result::not_connected, {}, at_ms(2));
    CHECK(engine.requeue(first.task, at_ms(2)));
    CHECK_FALSE(engine.requeue(first.task, at_ms(2)));
    engine.finished(other.task, task_result::ok, milliseconds(1), at_ms(3));
    auto const again = engine.place(at_ms(3));
    REQUIRE(again.size() == 1);
    CHECK(again[0].task == first.task);
    CHECK(again[0].attempt == 2);
    engine.finished(first.task, task_result::not_connected, {}, at_ms(4));
    CHECK_FALSE(engine.requeue(first.task, at_ms(4)));
    CHECK(engine.cancel(1, at_ms(4)).empty());
    CHECK(engine.status(at_ms(4)).services.at(0).jobs == 1);
}

TEST_CASE("a paused endpoint is tried again at the next event")
{
    auto engine = engine_with(text_of(1, 1));
    CHECK(admit(engine, 1) == result_code::ok);
    auto const start = engine.place(at_ms(0)).at(0);
    engine.finished(start.task, task_result::not_connected, {}, at_ms(1));
    CHECK(engine.requeue(start.task, at_ms(1)));
    CHECK(engine.place(at_ms(1)).empty());
    auto const next = engine.next_event(at_ms(1));
    REQUIRE(next);
    CHECK(engine.place(*next).size() == 1);
}

TEST_CASE("cancel drops queued tasks and returns the running ones")
{
    auto engine = engine_with(text_of(1, 2));
    CHECK(admit(engine, 1, 5) == result_code::ok);
    CHECK(engine.place(at_ms(0)).size() == 2);
    auto const running = engine.cancel(1, at_ms(1));
    CHECK(running.size() == 2);
    CHECK(engine.place(at_ms(1)).empty());
    for (auto const& task : running)
    {
        engine.finished(task, task_result::not_connected, {}, at_ms(2));
        CHECK_FALSE(engine.requeue(task, at_ms(2)));
    }
    CHECK(engine.status(at_ms(2)).services.at(0).jobs == 0);
    CHECK(engine.cancel(1, at_ms(2)).empty());
}

TEST_CASE("a slow slot stays idle while a fast one is expected to be free soon")
{
    auto const starts_with = [](std::string_view policy)
    {
        auto engine = engine_with(text_of(2, 8), policy);
        std::uint64_t job = 0;
        // Lets the engine learn that e0 is eight times as fast as e1.
        for (double ms = 1; ms < 200; ++ms)
        {
            CHECK(
                engine
                    .admit(job_of(++job, std::vector<float>(16, 1)), at_ms(ms))
                    .accepted());
            for (auto const& start : engine.place(at_ms(ms)))
                engine.finished(
                    start.task, task_result::ok,
                    milliseconds(start.endpoint->name == "e0" ? 50 : 400),
                    at_ms(ms));
            engine.cancel(job, at_ms(ms));
        }
        for (unsigned i = 0; i < 9; ++i)
            CHECK(engine.admit(job_of(++job, {1}), at_ms(1'000)).accepted());
        return engine.place(at_ms(1'000)).size();
    };
    CHECK(starts_with("lending") == 8);
    CHECK(starts_with("lending_eager") == 9);
}

TEST_CASE("a large job starts although small jobs keep arriving")
{
    auto engine = engine_with(text_of(1, 1));
    CHECK(engine.admit(job_of(1, {20}), at_ms(0)).accepted());
    std::uint64_t job = 1;
    bool started = false;
    for (unsigned i = 0; i < 100 && !started; ++i)
    {
        double const now = i * 100.0;
        CHECK(engine.admit(job_of(++job, {1}), at_ms(now)).accepted());
        for (auto const& start : engine.place(at_ms(now)))
        {
            started = started || start.task.job == 1;
            engine.finished(start.task, task_result::ok, milliseconds(100),
                            at_ms(now + 99));
        }
    }
    CHECK(started);
}
