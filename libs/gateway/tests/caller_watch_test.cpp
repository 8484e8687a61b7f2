#include "caller_watch.hpp"

#include <doctest/doctest.h>

#include <memory>

using namespace masticshift;
using namespace masticshift::gateway;

namespace
{

constexpr time_point start{std::chrono::seconds(1'000)};
constexpr milliseconds late = dispatch::longest_loop_delay + milliseconds(1);

/// A caller that has closed its connection, or waits.
struct test_caller
{
    explicit test_caller(bool ended)
        : notifier(
              std::make_shared<transport::disconnect_notifier>([] {},
                                                               [this, ended]
                                                               {
                                                                   ++asked;
                                                                   return ended;
                                                               }))
    {
        notifier->on_disconnect(
            [this]
            {
                ++notified;
            });
    }

    int asked = 0;
    int notified = 0;
    std::shared_ptr<transport::disconnect_notifier> notifier;
};

} // namespace

// An entry whose event loop was late said that jobs were wanted whose callers
// had closed their connections meanwhile.
TEST_CASE("a late entry notices the callers that have gone before it says that "
          "their jobs are wanted")
{
    caller_watch tested;
    test_caller gone(true);
    test_caller waiting(false);
    tested.add(gone.notifier);
    tested.add(waiting.notifier);
    tested.ask_if_late(dispatch::longest_loop_delay, start);
    CHECK(gone.asked == 0);
    tested.ask_if_late(late, start);
    CHECK(gone.notified == 1);
    CHECK(waiting.asked == 1);
    CHECK(waiting.notified == 0);
}

TEST_CASE("an entry that stays late asks about its callers no more often than "
          "it may be late")
{
    caller_watch tested;
    test_caller waiting(false);
    tested.add(waiting.notifier);
    tested.ask_if_late(late, start);
    tested.ask_if_late(late, start + milliseconds(1));
    CHECK(waiting.asked == 1);
    tested.ask_if_late(late, start + late);
    CHECK(waiting.asked == 2);
}

TEST_CASE("callers that were answered are not asked")
{
    caller_watch tested;
    test_caller answered(true);
    tested.add(answered.notifier);
    answered.notifier.reset();
    tested.ask_if_late(late, start);
    CHECK(answered.asked == 0);
}
