#include "fake_platform.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace masticshift;
using namespace masticshift::store;

namespace
{

std::size_t oldest_first(std::size_t)
{
    return 0;
}

apply_answer apply_one(fake_platform& platform, std::string const& change_id,
                       std::optional<std::uint64_t> expected = {})
{
    auto const answer = spawn_apply(platform, change_id, expected);
    platform.run(oldest_first);
    REQUIRE(answer->has_value());
    return **answer;
}

/// Returns the given outcomes in order, then `answered`.
std::function<commit_outcome()>
outcomes_in_order(std::vector<commit_outcome> outcomes)
{
    return [outcomes = std::move(outcomes), next = std::size_t{0}]() mutable
    {
        return next < outcomes.size() ? outcomes[next++]
                                      : commit_outcome::answered;
    };
}

std::size_t times_applied(fake_platform const& platform,
                          std::string const& change_id)
{
    return static_cast<std::size_t>(std::ranges::count(
        platform.applied, change_id, &revision_origin::change_id));
}

} // namespace

TEST_CASE("a change is written as the next revision under both keys")
{
    fake_platform platform;
    CHECK(apply_one(platform, "a").revision == 1);
    auto const second = apply_one(platform, "b", 1);
    CHECK(second.code == result_code::ok);
    CHECK(second.revision == 2);
    CHECK(platform.value_of(revision_key()) == "2");
    auto const record = parse_record(platform.value_of(configuration_key()));
    CHECK(record->revision == 2);
    CHECK(record->text == "text");
}

TEST_CASE("an expected revision that is no longer in force is a conflict")
{
    fake_platform platform;
    apply_one(platform, "a");
    apply_one(platform, "b");
    auto const answer = apply_one(platform, "c", 1);
    CHECK(answer.code == result_code::revision_conflict);
    CHECK(answer.revision == 2);
    CHECK(times_applied(platform, "c") == 0);
}

TEST_CASE("retrying an applied change returns the revision that it created")
{
    fake_platform platform;
    apply_one(platform, "a");
    apply_one(platform, "b");
    CHECK(apply_one(platform, "a", 0).revision == 1);
    CHECK(times_applied(platform, "a") == 1);
}

TEST_CASE(
    "after a lost response the outcome is read, also if other changes followed")
{
    for (unsigned const others : {0U, 1U, 15U})
    {
        fake_platform platform;
        platform.choose_outcome =
            outcomes_in_order({commit_outcome::answer_lost});
        platform.after_commit = [&]
        {
            for (unsigned i = 0; i < others; ++i)
                platform.apply_other_change("other" + std::to_string(i));
        };
        auto const answer = apply_one(platform, "a");
        CHECK(answer.code == result_code::ok);
        CHECK(answer.revision == 1);
        CHECK(times_applied(platform, "a") == 1);
    }
}

TEST_CASE(
    "a lost response is unsettled if the record no longer has the revision")
{
    fake_platform platform;
    platform.choose_outcome = outcomes_in_order({commit_outcome::answer_lost});
    platform.after_commit = [&]
    {
        for (std::size_t i = 0; i < max_recorded_changes; ++i)
            platform.apply_other_change("other" + std::to_string(i));
    };
    auto const answer = apply_one(platform, "a");
    CHECK(answer.code == result_code::write_unsettled);
    CHECK(answer.detail.find("revision 1") != std::string::npos);
}

TEST_CASE(
    "a lost request is retried and conflicts if another change was applied")
{
    fake_platform platform;
    platform.choose_outcome = outcomes_in_order({commit_outcome::request_lost});
    CHECK(apply_one(platform, "a").code == result_code::ok);

    platform.choose_outcome = outcomes_in_order({commit_outcome::request_lost});
    platform.after_commit = [&]
    {
        platform.apply_other_change("other");
    };
    auto const answer = apply_one(platform, "b");
    CHECK(answer.code == result_code::revision_conflict);
    CHECK(answer.revision == 2);
    CHECK(times_applied(platform, "b") == 0);
}

TEST_CASE("apply fails with nothing written when the platform is down")
{
    fake_platform platform;
    platform.choose_read = []
    {
        return false;
    };
    CHECK(apply_one(platform, "a").code == result_code::platform_unavailable);
    platform.choose_read = []
    {
        return true;
    };
    platform.choose_outcome = []
    {
        return commit_outcome::unreachable;
    };
    CHECK(apply_one(platform, "b").code == result_code::platform_timeout);
    CHECK(platform.applied.empty());
}

TEST_CASE("a write that may still take effect is reported as unsettled")
{
    fake_platform platform;
    platform.choose_outcome = []
    {
        return commit_outcome::request_lost;
    };
    CHECK(apply_one(platform, "a").code == result_code::write_unsettled);
}

TEST_CASE("a malformed record is refused")
{
    CHECK_FALSE(parse_record("7").has_value());
    CHECK_FALSE(parse_record(R"({"revision": 1, "text": ""})").has_value());
    CHECK_FALSE(parse_record(R"({"revision": 1, "change_id": "a", "text": "",
        "changes": [{"revision": 3, "change_id": "a"}]})")
                    .has_value());
    CHECK_FALSE(parse_record(R"({"revision": 1, "change_id": "a", "text": "",
        "changes": []})")
                    .has_value());
    CHECK(parse_record(R"({"revision": 1, "change_id": "a", "text": ""})")
              ->changes.size() == 1);
}

namespace
{

/// Returns random numbers that were drawn before, then 0.
class choices
{
public:
    explicit choices(std::vector<unsigned> numbers)
        : numbers_(std::move(numbers))
    {
    }

    std::size_t below(std::size_t bound)
    {
        return next_ < numbers_.size() ? numbers_[next_++] % bound : 0;
    }

private:
    std::vector<unsigned> numbers_;
    std::size_t next_ = 0;
};

commit_outcome draw_outcome(choices& drawn)
{
    using enum commit_outcome;
    constexpr std::array outcomes{answered,    answered,     answer_lost,
                                  answer_lost, request_lost, delayed,
                                  unreachable};
    return outcomes[drawn.below(outcomes.size())];
}

void check_answer(fake_platform const& platform, std::string const& change_id,
                  apply_answer const& answer)
{
    auto const times = times_applied(platform, change_id);
    switch (answer.code)
    {
    case result_code::ok:
        RC_ASSERT(times == 1U);
        RC_ASSERT(platform.applied.at(answer.revision - 1).change_id ==
                  change_id);
        break;
    case result_code::write_unsettled:
        RC_ASSERT(times <= 1U);
        break;
    default:
        RC_ASSERT(times == 0U);
        break;
    }
}

} // namespace

TEST_CASE("answers to concurrent operators are correct under every schedule")
{
    std::map<result_code, unsigned> seen;
    CHECK(rc::check(
        [&seen]
        {
            constexpr unsigned operators = 4;
            choices drawn(*rc::gen::container<std::vector<unsigned>>(
                200, rc::gen::inRange(0U, 1'000U)));
            fake_platform platform;
            platform.choose_outcome = [&]
            {
                return draw_outcome(drawn);
            };
            auto const failing_reads_of_8 = 3 * drawn.below(3);
            platform.choose_read = [&]
            {
                return drawn.below(8) >= failing_reads_of_8;
            };
            if (drawn.below(2) == 1)
                platform.apply_other_change("first");
            std::map<std::string, std::shared_ptr<std::optional<apply_answer>>>
                answers;
            for (unsigned i = 0; i < operators; ++i)
            {
                auto const id = "change" + std::to_string(i);
                auto const expected = drawn.below(3);
                answers[id] = expected == 2
                                  ? spawn_apply(platform, id)
                                  : spawn_apply(platform, id, expected);
            }
            platform.run(
                [&](std::size_t size)
                {
                    return drawn.below(size);
                });

            for (std::size_t i = 0; i < platform.applied.size(); ++i)
                RC_ASSERT(platform.applied[i].revision == i + 1);
            for (auto const& [id, answer] : answers)
            {
                RC_ASSERT(answer->has_value());
                check_answer(platform, id, **answer);
                ++seen[(*answer)->code];
            }
        }));
    CHECK(seen[result_code::ok] > 0);
    CHECK(seen[result_code::revision_conflict] > 0);
    CHECK(seen[result_code::write_unsettled] > 0);
    CHECK(seen[result_code::platform_unavailable] > 0);
}
