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
    cell_choice_model model({.load = 0.8}, 7);
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
