#include "load_model.hpp"

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::dispatch;
using namespace masticshift::dispatch::testing;

namespace
{

/// The kinds of job of the small deployments, for one cell of 48 endpoints.
job_kind const check{"check", 8, 6'800, milliseconds(60), 24};
job_kind const confirm{"confirm", 4, 6'800, milliseconds(900), 4.4};
job_kind const quote{"quote", 2, 6'800, milliseconds(200), 70};

void add_all(load_model& model, milliseconds time)
{
    for (auto const& kind : {check, confirm, quote})
        model.add_traffic(kind, time);
}

/// The target for days on which three orders or answers in ten are lost.
constexpr double lossy_day_target = 0.6;

/// What callers pay for a job of each kind that ends in time. A late one earns
/// a fifth.
std::map<std::string, double> const worth{
    {"check", 0.0291}, {"confirm", 0.16}, {"quote", 0.01}};

/// What the jobs earned, as a share of what they could have earned.
double earned_share(load_model& model)
{
    double earned = 0;
    double owed = 0;
    for (auto const& [kind, value] : worth)
    {
        auto const& counted = model.counts(kind);
        earned += value * (counted.in_time + 0.2 * counted.late);
        owed += value * counted.all();
    }
    return earned / owed;
}

int refused(load_model& model)
{
    int all = 0;
    for (auto const& [kind, value] : worth)
        all += model.counts(kind).refused;
    return all;
}

} // namespace

TEST_CASE("steady load: nearly all jobs end in time")
{
    load_model model({1, 48, 1});
    add_all(model, milliseconds(8'000));
    model.run_for(milliseconds(10'000));
    CHECK(earned_share(model) > 0.95);
    CHECK(refused(model) == 0);
}

TEST_CASE("lost orders: three in ten are lost and some are carried out late")
{
    load_model model({1, 48, 1});
    model.set_faults({0.3, 0, milliseconds(4'000)});
    add_all(model, milliseconds(8'000));
    model.run_for(milliseconds(10'000));
    CHECK(earned_share(model) > lossy_day_target);
    CHECK(refused(model) == 0);
}

TEST_CASE("lost answers: three in ten answers of endpoints are lost")
{
    load_model model({1, 48, 1});
    model.set_faults({0, 0.3, milliseconds(0)});
    add_all(model, milliseconds(8'000));
    model.run_for(milliseconds(10'000));
    CHECK(earned_share(model) > lossy_day_target);
    CHECK(refused(model) == 0);
}
