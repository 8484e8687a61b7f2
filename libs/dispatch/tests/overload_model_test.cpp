// Plays the loads of the first customer, for two of its cells, with more
// traffic than they can serve.

#include "load_model.hpp"

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::dispatch;
using namespace masticshift::dispatch::testing;

namespace
{

/// Cells of the deployment, with 350 endpoints in all.
constexpr double cells_in_all = 4;
constexpr int cells = 2;
constexpr int endpoints_per_cell = 88;

job_kind make_kind(std::string name, int priority, int tasks,
                   milliseconds run_time, double per_second)
{
    job_kind kind;
    kind.name = std::move(name);
    kind.priority = priority;
    kind.tasks = tasks;
    kind.processor = 16'000;
    kind.run_time = run_time;
    kind.per_second = per_second * cells / cells_in_all;
    kind.caller_timeout = milliseconds(1'500);
    kind.tasks_spread = 0.5;
    kind.processor_spread = 0.2;
    kind.run_time_spread = 0.4;
    kind.long_part = 0.03;
    return kind;
}

std::vector<job_kind> const kinds{
    make_kind("urgent", 0, 8, milliseconds(51), 181),
    make_kind("middle", 1, 2, milliseconds(170), 528),
    make_kind("large", 2, 4, milliseconds(760), 33)};

/// The targets are .95 for priority 0 and .60 for each kind; without packing,
/// jobs with tasks of over 18 cores keep the shares below them.
constexpr double least_gain = 0.1;
constexpr double least_in_time = 0.4;

struct played
{
    std::vector<double> in_time;
    std::string text;
};

played play(double traffic, double endpoints, bool one_priority, unsigned seed)
{
    load_model::options chosen;
    chosen.cells = cells;
    chosen.endpoints_per_cell =
        static_cast<int>(endpoints_per_cell * endpoints);
    chosen.seed = seed;
    chosen.speeds = {1.0, 1.3};
    chosen.processors = {32'000, 48'000};
    chosen.one_priority = one_priority;
    load_model model(chosen);
    for (auto kind : kinds)
    {
        kind.per_second *= traffic;
        model.add_traffic(kind, milliseconds(8'000));
    }
    // The first two seconds fill the cells.
    model.run_for(milliseconds(2'000));
    model.reset_counts();
    model.run_for(milliseconds(8'000));
    played result;
    for (auto const& kind : kinds)
    {
        auto const& counted = model.counts(kind.name);
        result.in_time.push_back(counted.in_time_share());
        result.text += " " + kind.name + " " +
                       std::to_string(counted.in_time_share()).substr(0, 5) +
                       " (late " + std::to_string(counted.late) + ", refused " +
                       std::to_string(counted.refused) + " of " +
                       std::to_string(counted.all()) + ")";
    }
    return result;
}

void compare(double traffic, double endpoints)
{
    auto const before = play(traffic, endpoints, true, 1);
    auto const after = play(traffic, endpoints, false, 1);
    MESSAGE("one priority:", before.text);
    MESSAGE("priorities:  ", after.text);
    CHECK(after.in_time[0] >= before.in_time[0] + least_gain);
    CHECK(after.in_time[1] >= least_in_time);
    CHECK(after.in_time[2] >= least_in_time);
}

} // namespace

TEST_CASE("three times the traffic: jobs of priority 0 gain, and no kind is "
          "given up")
{
    compare(3, 1);
}

TEST_CASE("half of the endpoints at one and a half times the traffic: jobs of "
          "priority 0 gain, and no kind is given up")
{
    compare(1.5, 0.5);
}

TEST_CASE("usual load: nearly all jobs end in time")
{
    auto const after = play(1, 1, false, 1);
    MESSAGE("priorities:", after.text);
    for (auto const share : after.in_time)
        CHECK(share > 0.9);
}
