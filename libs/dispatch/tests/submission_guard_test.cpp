#include <dispatch/submission_guard.hpp>

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::dispatch;

namespace
{

constexpr time_point start = time_point{} + std::chrono::seconds(1'000);
entry_identity const self{"10.0.0.1:7720", 5, "north", 250};

} // namespace

TEST_CASE("a submission is outdated once its clock reading is as old as a "
          "connection without a response may get")
{
    clock_reading const reading{self.incarnation, reading_at(start)};
    CHECK_FALSE(submission_guard::is_outdated(reading, self, true, start));
    CHECK_FALSE(submission_guard::is_outdated(reading, self, true,
                                              start + milliseconds(449)));
    CHECK(submission_guard::is_outdated(reading, self, true,
                                        start + milliseconds(450)));
}

TEST_CASE("an entry whose heartbeats do not arrive needs a newer reading, so "
          "that its first one comes in time")
{
    clock_reading const reading{self.incarnation, reading_at(start)};
    CHECK_FALSE(submission_guard::is_outdated(reading, self, false,
                                              start + milliseconds(199)));
    CHECK(submission_guard::is_outdated(reading, self, false,
                                        start + milliseconds(200)));
}

TEST_CASE("a reading of another incarnation's clock, a later one or none makes "
          "a submission outdated")
{
    CHECK(submission_guard::is_outdated({}, self, true, start));
    CHECK(submission_guard::is_outdated(
        {self.incarnation - 1, reading_at(start)}, self, true, start));
    CHECK(submission_guard::is_outdated(
        {self.incarnation, reading_at(start) + milliseconds(1)}, self, true,
        start));
}

TEST_CASE("a withdrawal covers its submission and earlier ones of the same "
          "origin and job, and no others")
{
    submission_guard guard;
    guard.record_withdrawal("a", "job", 7, start);
    CHECK(guard.is_withdrawn("a", "job", 7, start));
    CHECK(guard.is_withdrawn("a", "job", 6, start));
    CHECK_FALSE(guard.is_withdrawn("a", "job", 8, start));
    CHECK_FALSE(guard.is_withdrawn("b", "job", 7, start));
    CHECK_FALSE(guard.is_withdrawn("a", "other", 7, start));
}

TEST_CASE("a withdrawal is remembered for as long as its submission could be "
          "taken")
{
    submission_guard guard;
    auto const sent = start;
    clock_reading const reading{self.incarnation, reading_at(sent)};
    guard.record_withdrawal("a", "job", 7, sent + milliseconds(20));
    guard.record_withdrawal("a", "job", 7, sent + milliseconds(30));
    for (auto now = sent + milliseconds(30); now < sent + milliseconds(1'000);
         now += std::chrono::microseconds(700))
    {
        bool const taken =
            !submission_guard::is_outdated(reading, self, true, now) &&
            !guard.is_withdrawn("a", "job", 7, now);
        REQUIRE_FALSE(taken);
    }
    CHECK_FALSE(guard.is_withdrawn("a", "job", 7, sent + milliseconds(1'000)));
    CHECK(guard.size() == 0);
}
