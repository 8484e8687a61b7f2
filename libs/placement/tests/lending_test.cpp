#include "fixture.hpp"

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::placement;
using namespace masticshift::placement::testing;

namespace
{

constexpr std::int64_t incarnation = 7;
std::string const near_address = "10.0.1.1:1";
std::string const far_address = "10.0.2.1:1";
std::string const own_address = "10.0.0.9:1";

live_entry lender_view(std::string const& address, std::string const& centre,
                       unsigned idle, std::uint64_t sequence = 1)
{
    auto view = view_of(address, centre);
    view.sequence = sequence;
    view.loads.push_back({"s", idle, 0});
    return view;
}

/// An engine in the data centre "home". All endpoints are in "dc", so that it
/// owns no slots as soon as an entry of "dc" is live.
any_engine borrower(std::string_view policy = "lending")
{
    auto settings = settings_of(own_address);
    settings.data_centre = "home";
    auto engine = *make_engine(policy, settings);
    auto text = text_of(8, 8);
    text.data_centres["home"] = {"home", "region", {"dc", "far"}};
    engine.configure(text, at_ms(0));
    return engine;
}

/// An engine in the data centre "dc" that owns all slots.
any_engine lender()
{
    auto engine = *make_engine("lending", settings_of(near_address));
    engine.configure(text_of(8, 8), at_ms(0));
    engine.set_entries({view_of(own_address, "home")}, at_ms(0));
    return engine;
}

void queue_tasks(any_engine& engine, std::uint64_t job, unsigned tasks,
                 double ms = 0)
{
    auto const sizes = std::vector<float>(tasks, 1.0F);
    REQUIRE(engine.admit(job_of(job, sizes), at_ms(ms)).accepted());
}

} // namespace

TEST_CASE("the nearest entries with idle slots are asked, each with one call "
          "at a time")
{
    auto engine = borrower();
    engine.set_entries({lender_view(far_address, "far", 20),
                        lender_view(near_address, "dc", 3)},
                       at_ms(0));
    CHECK(engine.take_borrow_requests(at_ms(0)).empty());
    queue_tasks(engine, 1, 5);
    CHECK(engine.place(at_ms(0)).empty());
    auto const calls = engine.take_borrow_requests(at_ms(0));
    REQUIRE(calls.size() == 2);
    CHECK(calls[0].lender == near_address);
    CHECK(calls[0].count == 3);
    CHECK(calls[1].count == 2);
    CHECK(engine.take_borrow_requests(at_ms(1)).empty());
}

TEST_CASE(
    "an entry that lent nothing is asked again only after a new heartbeat")
{
    auto engine = borrower();
    engine.set_entries({lender_view(near_address, "dc", 3)}, at_ms(0));
    queue_tasks(engine, 1, 5);
    CHECK(engine.take_borrow_requests(at_ms(0)).size() == 1);
    engine.accept_loans(near_address, {}, at_ms(1));
    CHECK(engine.take_borrow_requests(at_ms(2)).empty());
    engine.set_entries({lender_view(near_address, "dc", 3)}, at_ms(3));
    CHECK(engine.take_borrow_requests(at_ms(3)).empty());
    engine.set_entries({lender_view(near_address, "dc", 3, 2)}, at_ms(4));
    CHECK(engine.take_borrow_requests(at_ms(4)).size() == 1);
}

TEST_CASE("a borrow call without a response times out")
{
    auto engine = borrower();
    engine.set_entries({lender_view(near_address, "dc", 3)}, at_ms(0));
    queue_tasks(engine, 1, 5);
    CHECK(engine.take_borrow_requests(at_ms(0)).size() == 1);
    CHECK(engine.next_event(at_ms(0)) == at_ms(1'000));
    engine.set_entries({lender_view(near_address, "dc", 3, 2)}, at_ms(500));
    CHECK(engine.take_borrow_requests(at_ms(500)).empty());
    CHECK(engine.take_borrow_requests(at_ms(1'000)).empty());
    engine.set_entries({lender_view(near_address, "dc", 3, 3)}, at_ms(1'001));
    CHECK(engine.take_borrow_requests(at_ms(1'001)).size() == 1);
}

TEST_CASE("a policy without lending neither borrows nor lends")
{
    auto engine = borrower("fixed_share_fifo");
    engine.set_entries({lender_view(near_address, "dc", 3)}, at_ms(0));
    queue_tasks(engine, 1, 5);
    CHECK(engine.take_borrow_requests(at_ms(0)).empty());
    CHECK(engine.lend("s", 5, near_address, incarnation, at_ms(0)).empty());
}

TEST_CASE(
    "no task starts on a borrowed slot within the margin before the loan's end")
{
    auto engine = borrower();
    engine.set_entries({lender_view(near_address, "dc", 3)}, at_ms(0));
    queue_tasks(engine, 1, 5);
    engine.take_borrow_requests(at_ms(0));
    // Loans are counted from the time of the call, since the response may have
    // been delayed.
    std::vector<loan> const loans{{"e0", 0, milliseconds(200)},
                                  {"e0", 1, milliseconds(30)}};
    engine.accept_loans(near_address, loans, at_ms(25));
    auto const placed = engine.place(at_ms(25));
    REQUIRE(placed.size() == 1);
    CHECK(placed[0].borrowed);
    CHECK(placed[0].slot == 0);
    engine.finished(placed[0].task, task_result::ok, milliseconds(1),
                    at_ms(190));
    CHECK(engine.place(at_ms(190)).empty());
    CHECK(engine.status(at_ms(190)).endpoints.at(0).borrowed_slots == 0);
}

TEST_CASE("a lender does not use a lent slot until the loan and the margin "
          "have ended")
{
    auto engine = lender();
    auto const loans = engine.lend("s", 16, own_address, incarnation, at_ms(0));
    REQUIRE(loans.size() == 16);
    queue_tasks(engine, 1, 64);
    CHECK(engine.place(at_ms(0)).size() == 48);
    auto const end = at_ms(0) + loans[0].valid;
    CHECK(engine.place(end).empty());
    CHECK(engine.place(end + milliseconds(10)).size() == 16);
}

TEST_CASE("an entry does not lend slots that its own queued tasks need")
{
    auto engine = lender();
    queue_tasks(engine, 1, 64);
    CHECK(engine.load(at_ms(0)).at(0).idle_slots == 0);
    CHECK(engine.lend("s", 16, own_address, incarnation, at_ms(0)).empty());
    engine.cancel(1, at_ms(0));
    auto const idle = engine.load(at_ms(0)).at(0).idle_slots;
    CHECK(idle > 0);
    CHECK(engine.lend("s", 64, own_address, incarnation, at_ms(0)).size() ==
          idle);
    CHECK(engine.lend("t", 1, own_address, incarnation, at_ms(0)).empty());
}

TEST_CASE("only the incarnation that borrowed a slot can return it")
{
    auto engine = lender();
    auto const loans = engine.lend("s", 4, own_address, incarnation, at_ms(0));
    REQUIRE(loans.size() == 4);
    engine.accept_returned_loans(own_address, incarnation + 1, loans, at_ms(1));
    engine.accept_returned_loans(far_address, incarnation, loans, at_ms(1));
    queue_tasks(engine, 1, 64);
    CHECK(engine.place(at_ms(1)).size() == 60);
    engine.accept_returned_loans(own_address, incarnation, loans, at_ms(2));
    engine.accept_returned_loans(own_address, incarnation, {{"none", 0, {}}},
                                 at_ms(2));
    CHECK(engine.place(at_ms(2)).size() == 4);
}

TEST_CASE(
    "unused borrowed slots are returned to a lender that has tasks queued")
{
    auto engine = borrower();
    engine.set_entries({lender_view(near_address, "dc", 8)}, at_ms(0));
    queue_tasks(engine, 1, 2);
    engine.take_borrow_requests(at_ms(0));
    engine.accept_loans(
        near_address,
        {{"e0", 0, milliseconds(900)}, {"e1", 0, milliseconds(900)}}, at_ms(1));
    engine.cancel(1, at_ms(1));
    CHECK(engine.take_surplus_loans(at_ms(1)).empty());
    auto busy = lender_view(near_address, "dc", 0, 2);
    busy.loads[0].queued_tasks = 5;
    engine.set_entries({busy}, at_ms(100));
    auto const returned = engine.take_surplus_loans(at_ms(100));
    REQUIRE(returned.size() == 1);
    CHECK(returned[0].lender == near_address);
    CHECK(returned[0].slots.size() == 2);
    queue_tasks(engine, 2, 1, 101);
    CHECK(engine.place(at_ms(101)).empty());
}

TEST_CASE("a slot that refused a task is not used for a while, the others are")
{
    auto engine = *make_engine("lending", settings_of());
    engine.configure(text_of(1, 2), at_ms(0));
    queue_tasks(engine, 1, 1);
    auto const start = engine.place(at_ms(0)).at(0);
    engine.finished(start.task, task_result::refused_not_run, {}, at_ms(1));
    CHECK(engine.requeue(start.task, at_ms(1)));
    auto const again = engine.place(at_ms(1));
    REQUIRE(again.size() == 1);
    CHECK(again[0].slot != start.slot);
    CHECK(engine.next_event(at_ms(1)));
}

TEST_CASE(
    "endpoints of a data centre without entries are shared by all entries")
{
    auto engine = borrower();
    queue_tasks(engine, 1, 100);
    CHECK(engine.place(at_ms(0)).size() == 64);
    auto other = borrower();
    other.set_entries({lender_view(near_address, "dc", 0)}, at_ms(0));
    queue_tasks(other, 1, 100);
    CHECK(other.place(at_ms(0)).empty());
}
