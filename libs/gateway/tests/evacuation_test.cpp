// Data centres that are evacuated by rows of the store.

#include "deployment.hpp"

#include <doctest/doctest.h>

#include <thread>

using namespace masticshift;
using masticshift::gateway::deployment;

namespace
{

constexpr milliseconds answer_timeout{3'500};

/// Time in which every entry has read a change of the store.
constexpr milliseconds notice_time{500};

unsigned answered_status(deployment& fixture, std::size_t entry, unsigned id)
{
    auto const job = fixture.submit(entry, id, 1);
    fixture.run_until(
        [&]
        {
            return job->status != 0;
        },
        answer_timeout);
    return job->status;
}

std::size_t starts_in(deployment& fixture, std::string const& data_centre)
{
    auto const& starts = fixture.platform().findings().starts_in;
    auto const found = starts.find(data_centre);
    return found == starts.end() ? 0 : found->second;
}

/// Two data centres with an entry in each.
struct two_data_centres : deployment
{
    two_data_centres()
    {
        add_endpoints("north", 2);
        add_endpoints("south", 2);
        add_gateway("north", 0.25);
        add_gateway("south", 0.25);
        REQUIRE(run_until_ready(0));
        REQUIRE(run_until_ready(1));
        run(milliseconds(300));
    }
};

} // namespace

TEST_CASE("nothing starts in an evacuated data centre, and the jobs of its "
          "callers are done elsewhere until the row is removed")
{
    two_data_centres fixture;
    CHECK(answered_status(fixture, 0, 1) == 200);
    CHECK(starts_in(fixture, "north") == 1);
    fixture.platform().evacuate("north");
    fixture.run(notice_time);
    for (unsigned id = 10; id < 20; ++id)
        CHECK(answered_status(fixture, id % 2, id) == 200);
    CHECK(starts_in(fixture, "north") == 1);
    CHECK(starts_in(fixture, "south") == 10);
    fixture.platform().end_evacuation("north");
    fixture.run(notice_time);
    CHECK(answered_status(fixture, 0, 30) == 200);
    CHECK(starts_in(fixture, "north") == 2);
}

TEST_CASE("jobs that wait in a data centre when it is evacuated are done in "
          "another one")
{
    two_data_centres fixture;
    fixture.platform().configure(2, milliseconds(700));
    fixture.run(notice_time);
    std::vector<std::shared_ptr<deployment::pending_answer>> jobs;
    for (unsigned id = 1; id <= 12; ++id)
        jobs.push_back(fixture.submit(id % 2, id, 1));
    fixture.run(milliseconds(20));
    fixture.platform().evacuate("north");
    fixture.run(notice_time);
    auto const before = starts_in(fixture, "north");
    CHECK(before > 0);
    fixture.run_until(
        [&]
        {
            return std::ranges::none_of(jobs,
                                        [](auto const& job)
                                        {
                                            return job->status == 0;
                                        });
        },
        answer_timeout);
    CHECK(starts_in(fixture, "north") == before);
    // A refusal for want of capacity is truthful; nothing may be unknown.
    for (auto const& job : jobs)
        CHECK((job->status == 200 || job->status == 503));
}

TEST_CASE("rows for unknown data centres and malformed keys change nothing")
{
    two_data_centres fixture;
    fixture.platform().evacuate("west");
    fixture.platform().write_operator_row("evacuate/", "north");
    fixture.platform().write_operator_row("evacuate/nor\x01th", "");
    fixture.platform().write_operator_row("evacuated/north", "");
    fixture.run(notice_time);
    CHECK(answered_status(fixture, 0, 1) == 200);
    CHECK(starts_in(fixture, "north") == 1);
}

TEST_CASE("an evacuation that was written before an entry started holds for "
          "it, also while the store is down later")
{
    deployment fixture;
    fixture.add_endpoints("north", 2);
    fixture.add_endpoints("south", 2);
    fixture.platform().evacuate("north");
    fixture.add_gateway("north", 0.25);
    fixture.add_gateway("south", 0.25);
    REQUIRE(fixture.run_until_ready(0));
    REQUIRE(fixture.run_until_ready(1));
    fixture.run(milliseconds(300));
    CHECK(answered_status(fixture, 0, 1) == 200);
    fixture.platform().faults().store_down = true;
    fixture.run(milliseconds(1'500));
    CHECK(answered_status(fixture, 0, 2) == 200);
    CHECK(starts_in(fixture, "north") == 0);
    CHECK(starts_in(fixture, "south") == 2);
}

TEST_CASE("a job is refused at once with a time to wait while all data centres "
          "are evacuated, and nothing of it starts")
{
    two_data_centres fixture;
    fixture.platform().evacuate("north");
    fixture.platform().evacuate("south");
    fixture.run(notice_time);
    auto const begun = steady_clock::now();
    auto const job = fixture.submit(0, 1, 1);
    fixture.run_until(
        [&]
        {
            return job->status != 0;
        },
        answer_timeout);
    CHECK(job->status == 503);
    CHECK(job->retry_after == "5");
    CHECK(steady_clock::now() - begun < milliseconds(300));
    CHECK(fixture.platform().findings().starts == 0);
    fixture.platform().end_evacuation("south");
    fixture.run(notice_time);
    CHECK(answered_status(fixture, 0, 2) == 200);
    CHECK(starts_in(fixture, "north") == 0);
}

TEST_CASE("an entry whose reads of the store fail, also through peers, learns "
          "of evacuations from the peer that has read them")
{
    deployment fixture;
    fixture.add_endpoints("north", 2);
    fixture.platform().evacuate("north");
    fixture.add_gateway("north", 0.25);
    REQUIRE(fixture.run_until_ready(0));
    fixture.platform().faults().store_down = true;
    auto const seed = fixture.peer_address(0);
    fixture.add_gateway("south", 0.25,
                        [&](config::gateway_settings& settings)
                        {
                            settings.seeds = {seed};
                        });
    CHECK(fixture.run_until(
        [&]
        {
            return fixture.status_json(1).find(
                       R"("data_centres":[{"data_centre":"north")") !=
                   std::string::npos;
        },
        milliseconds(5'000)));
}

// The write, the pause and the responses that were waiting when it ended came
// in this order: jobs started by the list from before the pause.
TEST_CASE("jobs that wait during a pause do not start after it in a data "
          "centre that was evacuated meanwhile")
{
    deployment fixture;
    fixture.add_endpoints("north", 1);
    fixture.add_gateway("north", 0.25);
    REQUIRE(fixture.run_until_ready(0));
    fixture.platform().configure(2, milliseconds(500));
    fixture.run(notice_time);
    std::vector<std::shared_ptr<deployment::pending_answer>> jobs;
    for (unsigned id = 1; id <= 4; ++id)
        jobs.push_back(fixture.submit(0, id, 1));
    fixture.run(milliseconds(150));
    auto const before = starts_in(fixture, "north");
    CHECK(before == 2);
    fixture.platform().evacuate("north");
    std::this_thread::sleep_for(milliseconds(1'100));
    fixture.run(milliseconds(1'500));
    CHECK(starts_in(fixture, "north") == before);
}

// The watch call of before the pause had no response for 3.6 s, and starts
// waited for its end.
TEST_CASE("starts wait for less than two seconds after a pause while the store "
          "does not respond")
{
    deployment fixture;
    fixture.add_endpoints("north", 2);
    fixture.add_gateway("north", 0.25);
    REQUIRE(fixture.run_until_ready(0));
    fixture.platform().faults().store_silent = true;
    fixture.run(milliseconds(1'500));
    std::this_thread::sleep_for(milliseconds(1'100));
    fixture.run(milliseconds(2'000));
    CHECK(answered_status(fixture, 0, 1) == 200);
}

TEST_CASE("while the store is down the last list applies; a removal that was "
          "missed counts once the store is back, also without its history")
{
    two_data_centres fixture;
    fixture.platform().evacuate("north");
    fixture.run(notice_time);
    fixture.platform().faults().store_down = true;
    // The stand-in still responds to the watch calls that are waiting.
    fixture.run(milliseconds(1'000));
    fixture.platform().end_evacuation("north");
    fixture.run(milliseconds(1'000));
    CHECK(answered_status(fixture, 0, 1) == 200);
    CHECK(starts_in(fixture, "north") == 0);
    fixture.platform().faults().history_gone = true;
    fixture.platform().faults().store_down = false;
    fixture.run(milliseconds(1'500));
    CHECK(answered_status(fixture, 0, 2) == 200);
    CHECK(starts_in(fixture, "north") == 1);
}
