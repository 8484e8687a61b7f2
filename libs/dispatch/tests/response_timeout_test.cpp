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
    CHECK(tested.after(0) == milliseconds(25));
}

TEST_CASE("the timeout grows with the response times")
{
    response_timeout tested;
    for (int i = 0; i < 50; ++i)
        tested.answered(milliseconds(1));
    for (int i = 0; i < 30; ++i)
        tested.answered(milliseconds(i % 2 == 0 ? 20 : 50));
    CHECK(tested.current() > milliseconds(60));
}

TEST_CASE("the timeout for an endpoint doubles with each further lost response")
{
    response_timeout tested;
    for (int i = 0; i < 50; ++i)
        tested.answered(milliseconds(1));
    CHECK(tested.after(1) == milliseconds(25));
    CHECK(tested.after(2) == milliseconds(50));
    CHECK(tested.after(3) == milliseconds(100));
    CHECK(tested.after(4) == milliseconds(150));
    CHECK(tested.after(1'000) == milliseconds(150));
}

TEST_CASE("the timeout of attempts that may be abandoned begins near the "
          "response time and doubles")
{
    response_timeout tested;
    CHECK(tested.of_attempt(0) == milliseconds(150));
    for (int i = 0; i < 50; ++i)
        tested.answered(milliseconds(1));
    CHECK(tested.of_attempt(0) == milliseconds(6));
    CHECK(tested.of_attempt(1) == milliseconds(12));
    CHECK(tested.of_attempt(3) == milliseconds(48));
    CHECK(tested.of_attempt(1'000) == milliseconds(48));
    for (int i = 0; i < 50; ++i)
        tested.answered(milliseconds(30));
    CHECK(tested.of_attempt(0) >= milliseconds(60));
    CHECK(tested.of_attempt(2) == milliseconds(150));
}
