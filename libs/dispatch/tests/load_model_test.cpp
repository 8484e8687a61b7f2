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

void print(load_model& model)
{
    for (auto const& kind : {check, confirm, quote})
    {
        auto const& counted = model.counts(kind.name);
        MESSAGE(kind.name << ": in time " << counted.in_time << ", late "
                          << counted.late << ", refused " << counted.refused
                          << ", unknown " << counted.unknown);
    }
}

} // namespace

TEST_CASE("steady load: nearly all jobs end in time")
{
    load_model model({1, 48, 1});
    add_all(model, milliseconds(8'000));
    model.run_for(milliseconds(10'000));
    print(model);
    CHECK(model.counts("check").in_time_share() > 0.9);
}

TEST_CASE("lost orders: three in ten are lost and some are carried out late")
{
    load_model model({1, 48, 1});
    model.set_faults({0.3, 0, milliseconds(4'000)});
    add_all(model, milliseconds(8'000));
    model.run_for(milliseconds(10'000));
    print(model);
}

TEST_CASE("lost answers: three in ten answers of endpoints are lost")
{
    load_model model({1, 48, 1});
    model.set_faults({0, 0.3, milliseconds(0)});
    add_all(model, milliseconds(8'000));
    model.run_for(milliseconds(10'000));
    print(model);
}
