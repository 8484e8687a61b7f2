#include "table_fixture.hpp"

#include <homes/submission_router.hpp>

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::homes;
using namespace masticshift::homes::testing;

namespace
{

process_name const self{"10.0.0.8:9100", 2};
process_name const peer{"10.0.0.9:9100", 3};
process_name const stopped{"10.0.0.6:9100", 4};

struct fixture
{
    inherited_tables inherited{self, {}};
    submission_router router{{self, milliseconds(1'000), 2}, inherited};

    fixture()
    {
        router.set_peers({self.address, peer.address});
    }

    route route_to(process_name const& home,
                   call_origin origin = call_origin::caller) const
    {
        return router.find_route({{home.address, home.incarnation, 1, {}}, "n"},
                                 origin);
    }
};

} // namespace

TEST_CASE_FIXTURE(fixture,
                  "a call is routed to the home of its id, wherever it arrives")
{
    CHECK(route_to(self).kind == route_kind::local);
    CHECK(route_to(self, call_origin::peer).kind == route_kind::local);
    auto const forwarded = route_to(peer);
    CHECK(forwarded.kind == route_kind::forward);
    CHECK(forwarded.address == peer.address);
    CHECK(route_to(peer, call_origin::peer).kind == route_kind::unknown_home);
}

TEST_CASE_FIXTURE(
    fixture, "an id of an earlier process at the same address is not local")
{
    CHECK(route_to({self.address, 1}).kind == route_kind::unknown_home);
}

TEST_CASE_FIXTURE(fixture,
                  "nothing is forwarded to an address that is not a peer")
{
    CHECK(route_to(stopped).kind == route_kind::unknown_home);
    router.learn_succession(peer, stopped.address, start_time);
    CHECK(route_to(peer).kind == route_kind::unknown_home);
    router.set_peers({});
    CHECK(route_to({"10.0.0.1:1", 1}).kind == route_kind::unknown_home);
}

TEST_CASE_FIXTURE(fixture,
                  "calls for a stopped process are routed to its successor")
{
    router.learn_succession(stopped, peer.address, start_time);
    CHECK(route_to(stopped).address == peer.address);
    CHECK(route_to({stopped.address, 5}).kind == route_kind::unknown_home);
    handover_part const part{{stopped, 1, 1, 0}, true, {}};
    CHECK(inherited.accept(part, start_time).has_value());
    CHECK(route_to(stopped).kind == route_kind::inherited);
    CHECK(route_to(stopped, call_origin::peer).kind == route_kind::inherited);
}

TEST_CASE_FIXTURE(fixture, "successions are limited in number and expire")
{
    router.learn_succession(stopped, peer.address, start_time);
    router.learn_succession({stopped.address, 5}, peer.address,
                            start_time + milliseconds(1));
    router.learn_succession({stopped.address, 6}, peer.address,
                            start_time + milliseconds(2));
    CHECK(route_to(stopped).kind == route_kind::unknown_home);
    CHECK(route_to({stopped.address, 5}).kind == route_kind::forward);
    router.expire(start_time + milliseconds(1'001));
    CHECK(route_to({stopped.address, 5}).kind == route_kind::unknown_home);
    CHECK(route_to({stopped.address, 6}).kind == route_kind::forward);
}
