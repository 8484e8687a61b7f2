#include "table_fixture.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace masticshift;
using namespace masticshift::homes;
using namespace masticshift::homes::testing;

namespace
{

constexpr milliseconds generation_length{100};
constexpr milliseconds retention{1'000};

submission_table_options small_options()
{
    return {home_process, "", generation_length, retention, 80, 8'000};
}

struct fixture
{
    submission_table table{small_options(), start_time};
    time_point now = start_time;

    submission_id new_id(std::string nonce) const
    {
        return {table.current_token(), std::move(nonce)};
    }

    admission_decision admit(submission_id const& id, unsigned body = 0)
    {
        return table.admit(id, digest_for(body), now);
    }

    void advance(milliseconds length)
    {
        now += length;
        table.rotate(now);
    }
};

void check_refused(admission_decision const& decision, result_code code,
                   ran_state ran)
{
    CHECK(name_of(decision.kind) == name_of(decision_kind::refused));
    CHECK(name_of(decision.code) == name_of(code));
    CHECK(name_of(decision.ran) == name_of(ran));
}

} // namespace

TEST_CASE_FIXTURE(fixture,
                  "copies attach to a running submission and get its answer")
{
    auto const id = new_id("a");
    auto const first = admit(id);
    CHECK(first.kind == decision_kind::start);
    auto const copy = admit(id);
    CHECK(copy.kind == decision_kind::attach);
    CHECK(copy.number == first.number);
    CHECK(table.finish(id, ok_answer("one"), now));
    CHECK_FALSE(table.finish(id, ok_answer("two"), now));
    auto const late = admit(id);
    REQUIRE(late.kind == decision_kind::answered);
    CHECK(late.answer->body == "one");
    CHECK(table.find(id).answer == late.answer);
}

TEST_CASE_FIXTURE(fixture, "another body under the same id is refused")
{
    auto const id = new_id("a");
    admit(id);
    check_refused(admit(id, 1), result_code::id_reused, ran_state::unknown);
    table.finish(id, ok_answer(), now);
    check_refused(admit(id, 1), result_code::id_reused, ran_state::ran);
}

TEST_CASE_FIXTURE(fixture, "a refused submission stays refused")
{
    auto const id = new_id("a");
    auto const given = overload_answer();
    CHECK(table.refuse(id, digest_for(0), given, now).answer == given);
    auto const copy = admit(id);
    CHECK(copy.kind == decision_kind::answered);
    CHECK(copy.answer == given);
    auto const running = new_id("b");
    admit(running);
    CHECK(table.refuse(running, digest_for(0), given, now).kind ==
          decision_kind::attach);
}

TEST_CASE_FIXTURE(
    fixture, "ids of other processes and of future generations are refused")
{
    auto other = new_id("a");
    other.home.incarnation += 1;
    check_refused(admit(other), result_code::outcome_unknown,
                  ran_state::unknown);
    check_refused(table.find(other), result_code::outcome_unknown,
                  ran_state::unknown);
    auto future = new_id("a");
    future.home.generation += 1;
    // It may run once that generation has started.
    check_refused(admit(future), result_code::id_malformed, ran_state::unknown);
    advance(generation_length);
    CHECK(admit(future).kind == decision_kind::start);
}

TEST_CASE("a token without its MAC is refused")
{
    auto options = small_options();
    options.key = "secret";
    submission_table table(options, start_time);
    submission_id id{table.current_token(), "a"};
    CHECK(table.admit(id, digest_for(0), start_time).kind ==
          decision_kind::start);
    id.home.mac.clear();
    check_refused(table.admit(id, digest_for(0), start_time),
                  result_code::id_forged, ran_state::not_run);
}

TEST_CASE_FIXTURE(fixture, "an answer is kept for the retention and no longer")
{
    auto const id = new_id("a");
    admit(id);
    advance(generation_length);
    table.finish(id, ok_answer(), now);
    advance(retention - milliseconds(1));
    CHECK(admit(id).kind == decision_kind::answered);
    advance(milliseconds(1));
    check_refused(admit(id), result_code::id_expired, ran_state::unknown);
    check_refused(table.find(id), result_code::id_expired, ran_state::unknown);
    CHECK(table.statistics().ids == 0);
    CHECK(table.statistics().answer_bytes == 0);
}

TEST_CASE_FIXTURE(fixture,
                  "a generation accepts new ids until its retention has passed")
{
    auto const used = new_id("a");
    auto const unused = new_id("b");
    auto const missed = new_id("c");
    admit(used);
    advance(generation_length);
    advance(retention - milliseconds(1));
    CHECK(admit(unused).kind == decision_kind::start);
    table.finish(used, ok_answer(), now);
    advance(milliseconds(1));
    check_refused(admit(missed), result_code::id_expired, ran_state::not_run);
    now -= retention;
    check_refused(admit(missed), result_code::id_expired, ran_state::not_run);
}

TEST_CASE_FIXTURE(fixture,
                  "a running submission is kept when its generation is evicted")
{
    auto const slow = new_id("slow");
    auto const quick = new_id("quick");
    admit(slow);
    admit(quick);
    table.finish(quick, ok_answer(), now);
    advance(generation_length);
    advance(retention);
    check_refused(admit(quick), result_code::id_expired, ran_state::unknown);
    CHECK(admit(slow).kind == decision_kind::attach);
    CHECK(table.finish(slow, ok_answer(), now));
    CHECK(admit(slow).kind == decision_kind::answered);
    advance(retention);
    check_refused(admit(slow), result_code::id_expired, ran_state::unknown);
}

TEST_CASE_FIXTURE(fixture, "a full table evicts its oldest answers first")
{
    auto const first = new_id("first");
    admit(first);
    table.finish(first, ok_answer(), now);
    submission_id last;
    for (int i = 0; i < 200; ++i)
    {
        last = new_id(std::to_string(i));
        REQUIRE(admit(last).kind == decision_kind::start);
        table.finish(last, ok_answer(), now);
        REQUIRE(table.statistics().ids <= 80);
    }
    check_refused(admit(first), result_code::id_expired, ran_state::unknown);
    CHECK(admit(last).kind == decision_kind::answered);
    // Each eviction removes about an eighth of the table.
    CHECK(table.statistics().ids >= 70);
    CHECK(table.statistics().ids_dropped_early >= 120);
}

TEST_CASE_FIXTURE(
    fixture,
    "a table full of running submissions refuses new ids without `not_run`")
{
    for (int i = 0; i < 80; ++i)
        REQUIRE(admit(new_id(std::to_string(i))).kind == decision_kind::start);
    auto const id = new_id("late");
    check_refused(admit(id), result_code::overloaded, ran_state::unknown);
    check_refused(table.refuse(id, digest_for(0), overload_answer(), now),
                  result_code::overloaded, ran_state::unknown);
    CHECK(table.statistics().refused_full == 2);
    auto ended = new_id("0");
    ended.home.generation = 1;
    CHECK(table.finish(ended, ok_answer(), now));
    CHECK(admit(id).kind == decision_kind::start);
}

TEST_CASE_FIXTURE(fixture, "large answers are evicted, oldest first")
{
    auto const id = new_id("a");
    admit(id);
    table.finish(id, ok_answer(std::string(5'000, 'x')), now);
    auto const other = new_id("b");
    admit(other);
    table.finish(other, ok_answer(std::string(5'000, 'x')), now);
    CHECK(table.statistics().answer_bytes == 5'000);
    check_refused(admit(id), result_code::id_expired, ran_state::unknown);
    CHECK(admit(other).kind == decision_kind::answered);
    auto const huge = new_id("c");
    admit(huge);
    table.finish(huge, ok_answer(std::string(9'000, 'x')), now);
    CHECK(table.statistics().answer_bytes == 0);
    check_refused(admit(huge), result_code::id_expired, ran_state::unknown);
}

TEST_CASE_FIXTURE(
    fixture, "a closed table starts nothing and refuses new ids as not run")
{
    auto const id = new_id("a");
    auto const running = new_id("b");
    check_refused(table.find(id), result_code::unknown_id, ran_state::unknown);
    admit(running);
    table.close_admission();
    check_refused(admit(id), result_code::draining, ran_state::not_run);
    check_refused(table.find(id), result_code::unknown_id, ran_state::not_run);
    CHECK(admit(running).kind == decision_kind::attach);
    CHECK(table.finish(running, ok_answer(), now));
    CHECK(admit(running).kind == decision_kind::answered);
}

TEST_CASE_FIXTURE(fixture, "an exported table is final")
{
    auto const running = new_id("a");
    admit(running);
    auto const exported = table.export_records(now);
    REQUIRE(exported.records.size() == 1);
    CHECK(exported.header.record_count == 1);
    CHECK(exported.records[0].id == running);
    CHECK(exported.records[0].answer->code == result_code::outcome_unknown);
    CHECK(exported.records[0].answer->ran == ran_state::unknown);
    CHECK_FALSE(table.finish(running, ok_answer(), now));
    CHECK(admit(running).answer == exported.records[0].answer);
    advance(2 * retention);
    CHECK(table.export_records(now).header == exported.header);
    CHECK(table.export_records(now).records.size() == 1);
}
