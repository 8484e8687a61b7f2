// From a caller's end to the end of its runs.

#include "resubmission_model.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace masticshift;
using namespace masticshift::dispatch;
using namespace masticshift::dispatch::testing;

namespace
{

constexpr milliseconds length{20'000};

resubmission_faults any_faults()
{
    resubmission_faults faults;
    faults.slow_links = *rc::gen::inRange(0, 100);
    faults.lost_stops = *rc::gen::inRange(50, 101);
    faults.pauses = *rc::gen::inRange(0, 100);
    faults.entry_deaths = *rc::gen::inRange(0, 100);
    return faults;
}

} // namespace

// Runs went on for up to 1,480 ms after their caller had left, where
// heartbeats, withdrawals and stops were held up, and callers submit again
// after 1,300 ms.
TEST_CASE("held-up heartbeats and late processes never cause a run beside that "
          "of the next submission")
{
    resubmission_model::counts totals;
    auto const passed =
        rc::check("one run of a task at a time",
                  [&](unsigned seed)
                  {
                      resubmission_model tested(seed, any_faults());
                      tested.run(length);
                      auto const played = tested.totals();
                      totals.resubmissions += played.resubmissions;
                      totals.cancelled_origins += played.cancelled_origins;
                      totals.starts += played.starts;
                      if (tested.ran_twice())
                          RC_FAIL(tested.history());
                  });
    CHECK(passed);
    CHECK(totals.resubmissions > 0);
    CHECK(totals.cancelled_origins > 0);
    CHECK(totals.starts > 0);
    MESSAGE("starts ", totals.starts, ", resubmissions ", totals.resubmissions,
            ", cancelled origins ", totals.cancelled_origins);
}

// Shows that the model can fail.
TEST_CASE("heartbeats that count from their arrival cause two runs")
{
    constexpr unsigned seeds = 100;
    unsigned failed = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        resubmission_faults faults;
        faults.slow_links = 60;
        faults.lost_stops = 100;
        faults.pauses = 60;
        faults.entry_deaths = 60;
        faults.former_heartbeats = true;
        resubmission_model tested(seed, faults);
        tested.run(length);
        failed += tested.ran_twice() ? 1 : 0;
    }
    CHECK(failed > 0);
    MESSAGE("seeds with two runs of a task: ", failed, " of ", seeds);
}
