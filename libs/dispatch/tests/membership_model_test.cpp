#include "membership_model.hpp"

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::dispatch;
using namespace masticshift::dispatch::testing;

namespace
{

/// The sizes of the users' deployments.
constexpr deployment_size sizes[] = {{8, 3, 1}, {43, 3, 2}, {97, 5, 2}};

/// The largest of the capacity sweep, and the users' target.
constexpr deployment_size large_sizes[] = {{300, 5, 2}, {789, 7, 2}};

/// Four of a hundred messages are lost.
constexpr double lossy = 0.04;

/// Targets with a purpose (eight at least, and dispatchers more) and the three
/// that are contacted in turn.
constexpr double most_per_interval = 15;

/// Time after a start within which each cell has a dispatcher: discovery, and a
/// few heartbeats.
constexpr milliseconds start_limit{2'000};

/// Time from the death of a dispatcher to its successor's claim: the time after
/// which a peer counts as dead, and two heartbeat intervals.
constexpr milliseconds succession_limit{700};

/// Claims up to this age show waits for which jobs are refused.
constexpr milliseconds recent_claim{250};

/// What each entry knows, by its address.
std::vector<std::pair<std::string, cell_dispatcher>>
known_claims(membership_model& model)
{
    std::vector<std::pair<std::string, cell_dispatcher>> all;
    for (auto const& address : model.addresses())
    {
        for (auto& each : model.roster(address).dispatchers(model.now()))
            all.emplace_back(address, std::move(each));
    }
    return all;
}

} // namespace

TEST_CASE("cold start of all: each cell gets one dispatcher, at every size")
{
    for (auto const& size : sizes)
    {
        CAPTURE(size.entries);
        membership_model model(size, 0, 1);
        CHECK(model.settle(start_limit) < start_limit);
        model.run_for(milliseconds(1'500));
        CHECK(model.every_cell_has_one_holder());
        CHECK(model.counts().false_deaths == 0);
        CHECK(model.counts().claims_begun == model.cells().size());
    }
}

TEST_CASE("large deployments: one dispatcher for each cell, known to all, with "
          "as many heartbeats as in small ones")
{
    constexpr std::size_t intervals = 5;
    for (auto const& size : large_sizes)
    {
        CAPTURE(size.entries);
        membership_model model(size, 0, 1);
        CHECK(model.settle(start_limit) < start_limit);
        model.run_for(milliseconds(1'000));
        CHECK(model.every_cell_has_one_holder());
        CHECK(model.counts().claims_begun == model.cells().size());
        model.reset_counts();
        model.run_for(milliseconds(100) * intervals);
        auto const mean = static_cast<double>(model.counts().heartbeats) /
                          static_cast<double>(size.entries * intervals);
        CHECK(mean < most_per_interval);
        CHECK(model.counts().false_deaths == 0);
        CHECK(model.counts().views_without_dispatcher == 0);
    }
}

TEST_CASE("steady state: every entry knows every dispatcher, and nobody is "
          "taken for dead")
{
    for (auto const& size : sizes)
    {
        CAPTURE(size.entries);
        membership_model model(size, 0, 2);
        model.run_for(milliseconds(4'000));
        model.reset_counts();
        model.run_for(milliseconds(2'000));
        CHECK(model.counts().false_deaths == 0);
        CHECK(model.counts().claims_begun == 0);
        CHECK(model.counts().views_without_dispatcher == 0);
    }
}

TEST_CASE("the heartbeats of an entry do not grow with the number of entries")
{
    constexpr std::size_t intervals = 20;
    for (auto const& size : sizes)
    {
        CAPTURE(size.entries);
        membership_model model(size, 0, 3);
        model.run_for(milliseconds(4'000));
        model.reset_counts();
        model.run_for(milliseconds(100) * intervals);
        auto const mean = static_cast<double>(model.counts().heartbeats) /
                          static_cast<double>(size.entries * intervals);
        CHECK(mean < most_per_interval);
    }
}

TEST_CASE("loss of power of a dispatcher: one successor claims its cell soon")
{
    for (auto const& size : sizes)
    {
        for (bool const refuses : {false, true})
        {
            CAPTURE(size.entries);
            CAPTURE(refuses);
            membership_model model(size, 0, 4);
            model.run_for(milliseconds(4'000));
            auto const cell = model.cells().front();
            auto const holder = model.holders(cell);
            REQUIRE(holder.size() == 1);
            model.reset_counts();
            model.kill(holder[0], refuses);
            CHECK(model.settle(succession_limit) < succession_limit);
            model.run_for(milliseconds(1'000));
            CHECK(model.every_cell_has_one_holder());
            CHECK(model.counts().claims_begun == 1);
            CHECK(model.counts().false_deaths == 0);
        }
    }
}

TEST_CASE("loss of a dispatcher and its first successors: the next one claims")
{
    for (auto const& size : sizes)
    {
        if (size.entries < 40)
            continue;
        CAPTURE(size.entries);
        membership_model model(size, 0, 5);
        model.run_for(milliseconds(4'000));
        // All large entries of one data centre, among them its dispatchers.
        auto const data_centre =
            model.data_centre_of(model.holders(model.cells().front())[0]);
        for (auto const& address : model.addresses())
        {
            if (model.data_centre_of(address) == data_centre &&
                model.roster(address).self().processor > 100)
                model.kill(address, false);
        }
        // The successors were not watched by all: these have to miss them for
        // as long as the dispatcher.
        auto const limit = 2 * succession_limit;
        CHECK(model.settle(limit) < limit);
    }
}

TEST_CASE("lossy links: false alarms are rare and change no dispatcher")
{
    for (auto const& size : sizes)
    {
        CAPTURE(size.entries);
        membership_model model(size, lossy, 6);
        model.run_for(milliseconds(4'000));
        model.reset_counts();
        model.run_for(milliseconds(3'000));
        CHECK(model.counts().claims_begun == 0);
        CHECK(model.every_cell_has_one_holder());
        // Four exchanges in a row fail with probability 4e-5, and each entry
        // has some 100 a second.
        CHECK(model.counts().false_deaths * 50 <= size.entries);
    }
}

TEST_CASE("known claims are recent, but not those from behind a cut")
{
    for (auto const& size : {sizes[1], large_sizes[1]})
    {
        CAPTURE(size.entries);
        membership_model model(size, 0, 7);
        model.run_for(milliseconds(4'000));
        auto const known = known_claims(model);
        REQUIRE(known.size() == size.entries * model.cells().size());
        for (auto const& [address, each] : known)
        {
            CHECK(each.age <= recent_claim);
            CHECK_FALSE(each.contested);
        }
        model.cut("dc1", true);
        model.run_for(recent_claim + milliseconds(150));
        for (auto const& [address, each] : known_claims(model))
        {
            bool const is_cut = each.claim.cell.starts_with("dc1/") !=
                                (model.data_centre_of(address) == "dc1");
            CHECK((each.age > recent_claim) == is_cut);
        }
    }
}

TEST_CASE("cut data centre: it keeps its dispatchers, and nobody else claims "
          "its cells before or after")
{
    for (auto const& size : sizes)
    {
        CAPTURE(size.entries);
        membership_model model(size, 0, 7);
        model.run_for(milliseconds(4'000));
        model.reset_counts();
        model.cut("dc1", true);
        model.run_for(milliseconds(5'000));
        CHECK(model.counts().claims_begun == 0);
        model.cut("dc1", false);
        model.run_for(milliseconds(3'000));
        CHECK(model.counts().claims_begun == 0);
        CHECK(model.every_cell_has_one_holder());
    }
}

TEST_CASE("loss of a data centre's entries: another one serves its cells until "
          "they are back")
{
    for (auto const& size : sizes)
    {
        CAPTURE(size.entries);
        membership_model model(size, 0, 8);
        model.run_for(milliseconds(4'000));
        std::vector<std::string> lost;
        for (auto const& address : model.addresses())
        {
            if (model.data_centre_of(address) == "dc1")
                lost.push_back(address);
        }
        for (auto const& address : lost)
            model.kill(address, true);
        model.reset_counts();
        CHECK(model.settle(milliseconds(3'500)) < milliseconds(3'500));
        model.run_for(milliseconds(1'000));
        CHECK(model.every_cell_has_one_holder());
        for (auto const& address : lost)
            model.restart(address);
        model.run_for(milliseconds(4'000));
        CHECK(model.every_cell_has_one_holder());
        for (auto const& cell : model.cells())
        {
            auto const holder = model.holders(cell);
            REQUIRE(holder.size() == 1);
            CHECK(cell.starts_with(model.data_centre_of(holder[0]) + "/"));
        }
    }
}

TEST_CASE("restart of all at once: each cell has a dispatcher again")
{
    for (auto const& size : sizes)
    {
        CAPTURE(size.entries);
        membership_model model(size, 0, 9);
        model.run_for(milliseconds(3'000));
        for (auto const& address : model.addresses())
            model.restart(address);
        CHECK(model.settle(start_limit) < start_limit);
        model.run_for(milliseconds(1'500));
        CHECK(model.every_cell_has_one_holder());
    }
}

TEST_CASE(
    "rolling restart: a retiring dispatcher has one successor, in its own "
    "data centre")
{
    for (auto const& size : sizes)
    {
        if (size.entries < 40)
            continue; // one entry of a data centre dispatches, one is left
        CAPTURE(size.entries);
        membership_model model(size, 0, 11);
        model.run_for(milliseconds(4'000));
        auto const cell = model.cells().front();
        auto const holder = model.holders(cell);
        REQUIRE(holder.size() == 1);
        model.reset_counts();
        model.drain(holder[0]);
        model.run_for(milliseconds(2'500));
        CHECK(model.counts().claims_begun == 1);
        auto const both = model.holders(cell);
        REQUIRE(both.size() == 2);
        CHECK(model.data_centre_of(both[0]) == model.data_centre_of(both[1]));
    }
}

TEST_CASE("a paused entry claims no cell when it continues")
{
    for (auto const& size : sizes)
    {
        CAPTURE(size.entries);
        membership_model model(size, 0, 10);
        model.run_for(milliseconds(4'000));
        // The entry that would claim a cell next, and an arbitrary one.
        std::vector<std::string> paused{model.addresses().front(),
                                        model.addresses().back()};
        for (auto const& address : paused)
        {
            for (auto const& cell : model.cells())
            {
                if (model.holders(cell) == std::vector{address})
                    model.kill(address, true);
            }
        }
        model.run_for(milliseconds(2'000));
        for (auto const& address : paused)
            model.pause(address, true);
        model.run_for(milliseconds(3'000));
        model.reset_counts();
        for (auto const& address : paused)
            model.pause(address, false);
        model.run_for(milliseconds(2'000));
        CHECK(model.counts().claims_begun == 0);
        CHECK(model.every_cell_has_one_holder());
    }
}
