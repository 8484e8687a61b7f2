#include <dispatch/evacuation_list.hpp>

#include <doctest/doctest.h>

namespace masticshift::dispatch
{

TEST_CASE("an evacuation lasts from the row until its removal, at whatever "
          "moment the list is read whole")
{
    evacuation_list tested;
    CHECK(tested.version() == 0);
    CHECK(tested.replace({{"north", 3}}, 5).size() == 1);
    CHECK(tested.contains("north"));
    CHECK(tested.apply({{"south", 6}}, 7).size() == 1);
    CHECK(tested.data_centres() == std::vector<std::string>{"north", "south"});
    auto const removed = tested.apply({{"north", 8, true}}, 8);
    REQUIRE(removed.size() == 1);
    CHECK_FALSE(removed[0].evacuated);
    CHECK_FALSE(tested.contains("north"));
    // A full read without the row, after its removal was missed.
    auto const ended = tested.replace({}, 12);
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].data_centre == "south");
    CHECK(tested.data_centres().empty());
    CHECK(tested.version() == 12);
}

TEST_CASE("a reading of an older version of the store neither ends nor begins "
          "an evacuation")
{
    evacuation_list tested;
    tested.replace({{"north", 9}}, 10);
    CHECK(tested.replace({}, 8).empty());
    CHECK(tested.contains("north"));
    CHECK(tested.apply({{"north", 4, true}, {"south", 5}}, 6).empty());
    CHECK(tested.data_centres() == std::vector<std::string>{"north"});
    tested.apply({{"north", 14, true}}, 14);
    // Changes that arrive twice or out of order.
    CHECK(tested.apply({{"north", 12}}, 13).empty());
    CHECK_FALSE(tested.contains("north"));
    CHECK(tested.version() == 14);
}

} // namespace masticshift::dispatch
