#include "progress_check.hpp"

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::dispatch;

namespace
{

time_point const start = time_point{} + std::chrono::seconds(100);

/// A run with an expected time of 100 ms that made its last progress, to
/// `percent`, at `after` its start.
placed_run make_run(int percent, milliseconds after)
{
    placed_run run;
    run.phase = run_phase::running;
    run.ordered = run.confirmed = start;
    run.expected = milliseconds(100);
    run.percent = percent;
    run.progressed = start + after;
    return run;
}

} // namespace

TEST_CASE("a run with a declared time that is too short is not restarted")
{
    auto const now = start + milliseconds(120);
    // It will take 200 ms. A new run would take as long.
    auto const run = make_run(60, milliseconds(120));
    CHECK(judge_progress(run, milliseconds(30), now) == progress::as_expected);
}

TEST_CASE("a run on a slow endpoint is restarted on a much faster one")
{
    auto const now = start + milliseconds(120);
    // It will take 600 ms.
    auto const run = make_run(20, milliseconds(120));
    CHECK(judge_progress(run, milliseconds(100), now) == progress::slow);
    CHECK(judge_progress(run, milliseconds(400), now) == progress::as_expected);
}

TEST_CASE("a run without progress is stuck")
{
    auto run = make_run(0, milliseconds(0));
    run.listed = start + milliseconds(400);
    CHECK(judge_progress(run, milliseconds(100), start + milliseconds(400)) ==
          progress::as_expected);
    run.listed = start + milliseconds(500);
    CHECK(judge_progress(run, milliseconds(100), start + milliseconds(500)) ==
          progress::stuck);
}

TEST_CASE("a run is not stuck because lists of its endpoint were lost")
{
    auto run = make_run(30, milliseconds(30));
    run.listed = start + milliseconds(40);
    CHECK(judge_progress(run, milliseconds(100), start + milliseconds(900)) ==
          progress::as_expected);
}
