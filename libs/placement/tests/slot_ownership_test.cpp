#include <placement/slot_ownership.hpp>

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <utility>

using namespace masticshift::placement;

namespace
{

constexpr unsigned endpoint_count = 100;
constexpr unsigned slot_count = 8;

using owners = std::map<std::pair<unsigned, unsigned>, std::string>;

owners owners_of(std::vector<entry_share> entries,
                 std::string const& data_centre = "a")
{
    slot_ownership ownership;
    ownership.set_entries(std::move(entries));
    owners result;
    for (unsigned i = 0; i < endpoint_count; ++i)
    {
        auto const name = "e" + std::to_string(i);
        for (unsigned slot = 0; slot < slot_count; ++slot)
            result[{i, slot}] = ownership.owner(name, data_centre, slot);
    }
    return result;
}

std::map<std::string, double> shares_of(owners const& all)
{
    std::map<std::string, double> shares;
    for (auto const& row : all)
        shares[row.second] += 1.0 / (endpoint_count * slot_count);
    return shares;
}

} // namespace

TEST_CASE("the order of the entries does not change owners")
{
    CHECK(owners_of({{"x", "a"}, {"y", "a"}, {"z", "a"}}) ==
          owners_of({{"z", "a"}, {"x", "a"}, {"y", "a"}}));
}

TEST_CASE("when an entry leaves, only its slots change owner")
{
    auto const before = owners_of({{"x", "a"}, {"y", "a"}, {"z", "a"}});
    auto const after = owners_of({{"x", "a"}, {"z", "a"}});
    for (auto const& row : before)
    {
        if (row.second != "y")
            CHECK(after.at(row.first) == row.second);
    }
}

TEST_CASE("slots are divided by weight")
{
    auto const shares =
        shares_of(owners_of({{"x", "a", 3.0}, {"y", "a", 1.0}}));
    CHECK(shares.at("x") == doctest::Approx(0.75).epsilon(0.1));
    CHECK(shares.at("y") == doctest::Approx(0.25).epsilon(0.2));
}

TEST_CASE("slots stay in their data centre while it has an entry")
{
    auto const local = shares_of(owners_of({{"x", "a"}, {"y", "b"}}));
    CHECK(local.size() == 1);
    CHECK(local.contains("x"));
    auto const without_local_entry =
        shares_of(owners_of({{"x", "b"}, {"y", "c"}}));
    CHECK(without_local_entry.size() == 2);
    CHECK(shares_of(owners_of({})).contains(""));
}

TEST_CASE("setting the same entries again changes nothing")
{
    slot_ownership ownership;
    CHECK(ownership.set_entries({{"x", "a"}, {"y", "a"}}));
    CHECK_FALSE(ownership.set_entries({{"y", "a"}, {"x", "a"}}));
    CHECK(ownership.set_entries({{"y", "a"}, {"x", "b"}}));
}
