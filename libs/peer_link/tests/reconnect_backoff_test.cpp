#include "reconnect_backoff.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace masticshift;
using namespace masticshift::peer_link;

TEST_CASE("the back-off grows to its limit and is reset by a success")
{
    CHECK(rc::check(
        [](std::uint32_t seed)
        {
            std::mt19937 generator(seed);
            reconnect_backoff backoff(milliseconds{50}, milliseconds{2'000});
            auto now = time_point{};
            RC_ASSERT(backoff.allowed(now));
            milliseconds pause{50};
            for (int i = 0; i < 10; ++i)
            {
                backoff.failed(now, generator);
                RC_ASSERT(!backoff.allowed(now + pause / 2 - milliseconds{1}));
                RC_ASSERT(backoff.allowed(now + pause));
                pause = std::min(pause * 2, milliseconds{2'000});
                RC_ASSERT(backoff.failures() == static_cast<unsigned>(i) + 1);
            }
            backoff.succeeded();
            RC_ASSERT(backoff.failures() == 0U);
            RC_ASSERT(backoff.allowed(now));
        }));
}
