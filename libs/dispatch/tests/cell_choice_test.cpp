// Many entries that choose cells by the same claims.

#include "cell_choice_model.hpp"

#include <test_support/endpoint_model.hpp>

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::dispatch;
using masticshift::dispatch::testing::cell_choice_model;

namespace
{

cell_dispatcher make_claim(std::string const& cell, std::int64_t free,
                           milliseconds backlog)
{
    cell_dispatcher made;
    made.address = "entry of " + cell;
    made.claim.cell = cell;
    made.claim.endpoints = 90;
    made.claim.free_processor = free;
    made.claim.backlog = backlog;
    made.claim.waits = {backlog};
    return made;
}

/// How many of 1,000 jobs of data centre a go to each cell.
std::map<std::string, int> choices(std::vector<cell_dispatcher> const& cells,
                                   tried_cells const& tried)
{
    std::map<std::string, int> counts;
    for (int i = 0; i < 1'000; ++i)
        ++counts[choose_cell(cells, "a", make_spec(std::to_string(i), 2), tried)
                     ->cell];
    return counts;
}

} // namespace

TEST_CASE("after a refusal, jobs spread over the cells by their free capacity")
{
    milliseconds const none{0};
    auto const counts = choices(
        {make_claim("a/0/1", 0, none), make_claim("b/0/1", 90'000, none),
         make_claim("c/0/1", 60'000, none), make_claim("d/0/1", 30'000, none)},
        {{"a/0/1"}, {}});
    CHECK(counts.size() == 2);
    CHECK(counts.at("b/0/1") > 540);
    CHECK(counts.at("b/0/1") < 660);
}

TEST_CASE("after a refusal, another cell of the own data centre comes first")
{
    milliseconds const none{0};
    auto counts = choices({make_claim("a/0/2", 90'000, none),
                           make_claim("a/1/2", 20'000, none),
                           make_claim("b/0/1", 90'000, none)},
                          {{"a/0/2"}, {}});
    CHECK(counts["a/1/2"] == 1'000);
}

TEST_CASE("as many jobs wait elsewhere as make the waits equal")
{
    tried_cells const tried{{"a/0/1", "b/0/1"}, {}};
    auto const with_local_backlog = [&](std::int64_t ms)
    {
        return choices({make_claim("a/0/1", 0, milliseconds(ms)),
                        make_claim("b/0/1", 0, milliseconds(60)),
                        make_claim("c/0/1", 0, milliseconds(90))},
                       tried);
    };
    auto equal = with_local_backlog(60);
    CHECK(equal["a/0/1"] == 1'000);
    auto longer = with_local_backlog(120);
    CHECK(longer["a/0/1"] > 640);
    CHECK(longer["a/0/1"] < 760);
    CHECK(longer["b/0/1"] > 200);
    CHECK(longer["c/0/1"] == 0);
    auto far_longer = with_local_backlog(400);
    CHECK(far_longer["a/0/1"] == 0);
    CHECK(far_longer["b/0/1"] > far_longer["c/0/1"]);
    CHECK(far_longer["c/0/1"] > 200);
}

TEST_CASE("entries with claims of up to 100 ms ago do not all send their jobs "
          "to one cell")
{
    cell_choice_model model({.load = 0.8, .has_waits = true}, 7);
    model.run_for(milliseconds(11'000));
    auto const& counts = model.counts();
    CAPTURE(counts.jobs);
    CAPTURE(counts.waited.count());
    REQUIRE(counts.forwarded > 1'000);
    CHECK(counts.forwarded_to_one < counts.forwarded / 2);
    CHECK(counts.busy < counts.jobs);
}

TEST_CASE("with little load, jobs run in their own data centre")
{
    cell_choice_model model({.load = 0.3, .swing = 0.5}, 7);
    model.run_for(milliseconds(11'000));
    auto const& counts = model.counts();
    REQUIRE(counts.jobs > 1'000);
    CHECK(counts.local == counts.jobs);
    CHECK(counts.busy == 0);
}

TEST_CASE("a cell without a piece for the largest task is not tried")
{
    milliseconds const none{0};
    std::vector<cell_dispatcher> cells{make_claim("a/0/1", 0, none),
                                       make_claim("b/0/1", 90'000, none),
                                       make_claim("c/0/1", 60'000, none)};
    cells[1].claim.largest_free_processor = 6'000;
    cells[2].claim.largest_free_processor = 7'000;
    CHECK(choices(cells, {{"a/0/1"}, {}})["c/0/1"] == 1'000);
    cells[1].contested = true;
    CHECK(choices(cells, {{"a/0/1"}, {}})["b/0/1"] > 500);
}

TEST_CASE("jobs of each priority go by the waits of that priority")
{
    std::vector<cell_dispatcher> cells{
        make_claim("a/0/1", 0, milliseconds(300)),
        make_claim("b/0/1", 0, milliseconds(300))};
    cells[0].claim.waits = {milliseconds(0), milliseconds(400)};
    cells[1].claim.waits = {milliseconds(400), milliseconds(0)};
    auto job = make_spec("job", 2);
    CHECK(choose_cell(cells, "a", job, {})->cell == "a/0/1");
    job.priority = 1;
    CHECK(choose_cell(cells, "a", job, {})->cell == "b/0/1");
    job.priority = 7;
    auto const last = choose_cell(cells, "a", job, {});
    CHECK(last->cell == "b/0/1");
    CHECK(last->kind == choice_kind::remote_wait);
    cells[0].age = milliseconds(300);
    CHECK(choose_cell(cells, "a", job, {})->kind == choice_kind::local_start);
}

TEST_CASE("jobs of a data centre whose cell has no dispatcher spread over the "
          "other cells")
{
    auto counts = choices({make_claim("b/0/1", 0, milliseconds(50)),
                           make_claim("c/0/1", 0, milliseconds(50))},
                          {});
    CHECK(counts["b/0/1"] > 430);
    CHECK(counts["c/0/1"] > 430);
}

TEST_CASE("a dispatcher that has read no endpoints gets jobs only if no other "
          "does")
{
    std::vector<cell_dispatcher> cells{
        make_claim("a/0/1", 0, milliseconds(0)),
        make_claim("b/0/1", 0, milliseconds(90))};
    cells[0].claim.endpoints = 0;
    CHECK(choices(cells, {{"a/0/1", "b/0/1"}, {}})["b/0/1"] == 1'000);
    cells[1].claim.endpoints = 0;
    CHECK(choices(cells, {{"a/0/1", "b/0/1"}, {}})["a/0/1"] == 1'000);
}

TEST_CASE("a job is refused by claims only if all of them show that it would "
          "be late")
{
    std::vector<cell_dispatcher> cells{make_claim("a/0/1", 0, milliseconds(0)),
                                       make_claim("b/0/1", 0, milliseconds(0))};
    cells[0].claim.waits = {milliseconds(700), milliseconds(0)};
    cells[1].claim.waits = {milliseconds(500)};
    cells[1].age = milliseconds(100);
    auto job = make_spec("job", 2);
    // It may wait for 60 ms and for 0.6 of a run time of at most 90 ms.
    auto const refusal = refuse_by_claims(cells, job);
    REQUIRE(refusal);
    CHECK(refusal->end == job_end::refused);
    CHECK(refusal->retry_after == milliseconds(400 - 114));
    auto const with_change = [&](auto const& change)
    {
        auto changed = cells;
        change(changed[1]);
        return refuse_by_claims(changed, job).has_value();
    };
    CHECK_FALSE(with_change(
        [](cell_dispatcher& each)
        {
            each.age = milliseconds(300);
        }));
    CHECK_FALSE(with_change(
        [](cell_dispatcher& each)
        {
            each.contested = true;
        }));
    CHECK_FALSE(with_change(
        [](cell_dispatcher& each)
        {
            each.claim.waits.clear();
        }));
    CHECK_FALSE(with_change(
        [](cell_dispatcher& each)
        {
            each.claim.free_processor = 13'600;
        }));
    CHECK_FALSE(with_change(
        [](cell_dispatcher& each)
        {
            each.claim.endpoints = 0;
        }));
    job.priority = 1;
    CHECK_FALSE(refuse_by_claims(cells, job));
    CHECK_FALSE(refuse_by_claims({}, job));
}

TEST_CASE("no job is refused by claims while a cell could start it")
{
    cell_choice_model model({.load = 1.0, .has_waits = true}, 7);
    model.run_for(milliseconds(11'000));
    auto const& counts = model.counts();
    CAPTURE(counts.jobs);
    REQUIRE(counts.refused > 1'000);
    CHECK(counts.refused_with_room == 0);
}
