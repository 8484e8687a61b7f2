#include <dispatch/response_timeout.hpp>

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::dispatch;

TEST_CASE("little is waited for answers that come fast")
{
    response_timeout tested;
    CHECK(tested.limit() == milliseconds(150));
    for (int i = 0; i < 50; ++i)
        tested.answered(milliseconds(1));
    CHECK(tested.limit() == milliseconds(25));
    // One of ten is lost.
    for (int i = 0; i < 100; ++i)
    {
        if (i % 10 == 0)
            tested.unanswered();
        else
            tested.answered(milliseconds(1));
    }
    CHECK(tested.limit() <= milliseconds(40));
}

TEST_CASE("the limit grows with the time that answers take")
{
    response_timeout tested;
    for (int i = 0; i < 50; ++i)
        tested.answered(milliseconds(1));
    for (int i = 0; i < 30; ++i)
        tested.answered(milliseconds(i % 2 == 0 ? 20 : 50));
    CHECK(tested.limit() > milliseconds(60));
    // Answers that take longer than the limit raise it too.
    for (int i = 0; i < 30; ++i)
        tested.unanswered();
    CHECK(tested.limit() == milliseconds(150));
}
