#include <test_support/endpoint_model.hpp>

#include <dispatch/cell_choice.hpp>
#include <dispatch/cell_layout.hpp>

#include <doctest/doctest.h>

#include <map>

using namespace masticshift;
using namespace masticshift::dispatch;

namespace
{

std::vector<endpoint_record> make_endpoints(std::string const& data_centre,
                                            int count)
{
    std::vector<endpoint_record> all;
    for (int i = 0; i < count; ++i)
    {
        auto record = make_endpoint(data_centre + std::to_string(i));
        record.data_centre = data_centre;
        all.push_back(record);
    }
    return all;
}

cell_dispatcher make_cell(std::string cell, std::int64_t free_processor)
{
    cell_dispatcher made;
    made.address = "entry of " + cell;
    made.claim.cell = std::move(cell);
    made.claim.free_processor = free_processor;
    return made;
}

} // namespace

TEST_CASE("a data centre with many endpoints has several cells of similar size")
{
    auto const endpoints = make_endpoints("a", 157);
    cell_layout const layout(endpoints, {});
    REQUIRE(layout.cells().size() == 2);
    std::map<std::string, int> sizes;
    for (auto const& endpoint : endpoints)
        ++sizes[layout.cell_of(endpoint)];
    CHECK(sizes.size() == 2);
    for (auto const& [name, size] : sizes)
        CHECK(size > 30);
    CHECK(cell_layout(make_endpoints("a", 16), {}).cells().size() == 1);
    CHECK(cell_layout().cells().empty());
}

TEST_CASE("a job goes to the entry's data centre first, then to the most free "
          "capacity")
{
    auto const job = make_spec("a", 2);
    std::vector<cell_dispatcher> const cells{make_cell("a/0/1", 0),
                                             make_cell("b/0/1", 20'000),
                                             make_cell("c/0/1", 90'000)};
    auto const first = choose_cell(cells, "a", job, {});
    REQUIRE(first);
    CHECK(first->cell == "a/0/1");
    CHECK(first->only_if_idle);
    auto const second = choose_cell(cells, "a", job, {{"a/0/1"}, {}});
    REQUIRE(second);
    CHECK(second->cell == "c/0/1");
    CHECK(second->only_if_idle);
    auto const last = choose_cell(cells, "a", job, {{"a/0/1", "c/0/1"}, {}});
    REQUIRE(last);
    CHECK(last->cell == "a/0/1");
    CHECK_FALSE(last->only_if_idle);
    CHECK_FALSE(choose_cell({}, "a", job, {}));
}

TEST_CASE(
    "a job waits in the smallest backlog, locally if it is nearly as small")
{
    auto const job = make_spec("a", 8);
    std::vector<cell_dispatcher> cells{
        make_cell("a/0/1", 0), make_cell("b/0/1", 0), make_cell("c/0/1", 0)};
    tried_cells const tried{{"a/0/1", "b/0/1"}, {}};
    cells[0].claim.backlog = milliseconds(120);
    cells[1].claim.backlog = milliseconds(60);
    cells[2].claim.backlog = milliseconds(90);
    CHECK(choose_cell(cells, "a", job, tried)->cell == "b/0/1");
    CHECK_FALSE(choose_cell(cells, "a", job, tried)->only_if_idle);
    cells[0].claim.backlog = milliseconds(65);
    CHECK(choose_cell(cells, "a", job, tried)->cell == "a/0/1");
}

TEST_CASE("a job refused as overloaded is sent to one more cell")
{
    auto const job = make_spec("a", 2);
    std::vector<cell_dispatcher> const cells{
        make_cell("a/0/1", 0), make_cell("b/0/1", 0), make_cell("c/0/1", 0)};
    auto const next = choose_cell(cells, "a", job, {{"a/0/1"}, {"a/0/1"}});
    REQUIRE(next);
    CHECK(next->cell != "a/0/1");
    CHECK_FALSE(next->only_if_idle);
    CHECK_FALSE(choose_cell(cells, "a", job, {{"a/0/1"}, {"a/0/1", "b/0/1"}}));
    CHECK_FALSE(
        choose_cell({make_cell("a/0/1", 0)}, "a", job, {{}, {"a/0/1"}}));
}

TEST_CASE("a job waits in the only cell")
{
    auto const choice =
        choose_cell({make_cell("b/0/1", 0)}, "a", make_spec("a", 2), {});
    REQUIRE(choice);
    CHECK(choice->cell == "b/0/1");
    CHECK_FALSE(choice->only_if_idle);
}

TEST_CASE("the number of cells does not depend on how many of a data centre's "
          "endpoints have registered yet")
{
    for (int const registered : {1, 40, 80, 108, 117})
    {
        CAPTURE(registered);
        CHECK(cell_layout(make_endpoints("a", registered), {}).cells().size() ==
              1);
    }
}

TEST_CASE("cells in force stay while endpoints are replaced")
{
    auto const endpoints = make_endpoints("a", 131);
    CHECK(cell_layout(endpoints, {}).cells().size() == 2);
    auto const in_force = cell_layout::counts_of({"a/0/1", "b/1/4"});
    CHECK(in_force.at("a") == 1);
    CHECK(in_force.at("b") == 4);
    CHECK(cell_layout(endpoints, in_force).cells().size() == 1);
    CHECK(cell_layout(make_endpoints("a", 250), in_force).cells().size() == 4);
    CHECK(cell_layout(make_endpoints("b", 20), in_force).cells().size() == 1);
    CHECK(cell_layout::counts_of({"", "/", "a", "a/b"}).empty());
}
