#include "fixture.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace masticshift;
using namespace masticshift::placement;
using namespace masticshift::placement::testing;

namespace
{

any_engine engine_with(config::service_text const& text,
                       std::string_view policy = "lending")
{
    auto made = make_engine(policy, settings_of());
    REQUIRE(made);
    made->configure(text, at_ms(0));
    return std::move(*made);
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
    CHECK(engine.admit(job_of(1, {1, 1, 1, 1, 1, 1}), at_ms(0)).accepted());
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
