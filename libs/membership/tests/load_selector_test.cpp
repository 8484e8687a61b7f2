#include <membership/load_selector.hpp>

#include <doctest/doctest.h>

using namespace masticshift::membership;

TEST_CASE("changed loads are sent first, and all others in turn")
{
    std::vector<service_load> loads{{"a"}, {"b"}, {"c"}, {"d"}, {"e"}};
    load_selector selector;
    CHECK(selector.choose(loads, 2) == std::vector<service_load>{{"a"}, {"b"}});
    CHECK(selector.choose(loads, 2) == std::vector<service_load>{{"c"}, {"d"}});
    loads[0].idle_slots = 4;
    CHECK(selector.choose(loads, 2) ==
          std::vector<service_load>{{"e"}, {"a", 4}});
    CHECK(selector.choose(loads, 2) == std::vector<service_load>{{"b"}, {"c"}});
    loads.erase(loads.begin());
    CHECK(selector.choose(loads, 9).size() == 4);
    CHECK(selector.choose({}, 2).empty());
}
