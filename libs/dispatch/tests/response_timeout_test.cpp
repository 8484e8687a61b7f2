#include <dispatch/response_timeout.hpp>

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::dispatch;

TEST_CASE("the timeout is short if responses come fast")
{
    response_timeout tested;
    CHECK(tested.current() == milliseconds(150));
    for (int i = 0; i < 50; ++i)
        tested.answered(milliseconds(1));
    CHECK(tested.current() == milliseconds(25));
    // One response in ten is lost.
    for (int i = 0; i < 100; ++i)
    {
        if (i % 10 == 0)
            tested.unanswered();
        else
            tested.answered(milliseconds(1));
    }
    CHECK(tested.current() <= milliseconds(40));
}

TEST_CASE("the timeout grows with the response times")
{
    response_timeout tested;
    for (int i = 0; i < 50; ++i)
        tested.answered(milliseconds(1));
    for (int i = 0; i < 30; ++i)
        tested.answered(milliseconds(i % 2 == 0 ? 20 : 50));
    CHECK(tested.current() > milliseconds(60));
    // Responses that exceed the timeout raise it too.
    for (int i = 0; i < 30; ++i)
        tested.unanswered();
    CHECK(tested.current() == milliseconds(150));
}
