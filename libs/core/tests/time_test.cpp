#include <core/time.hpp>

#include <doctest/doctest.h>

using namespace masticshift;

// A dispatcher whose VM had been suspended took the entries of its jobs for
// alive, and started their tasks again.
TEST_CASE("the clock counts the time during which the VM is suspended")
{
    auto const boot_time = []
    {
        std::timespec read{};
        ::clock_gettime(CLOCK_BOOTTIME, &read);
        return std::chrono::seconds(read.tv_sec) +
               std::chrono::nanoseconds(read.tv_nsec);
    };
    auto const before = boot_time();
    auto const now = steady_clock::now().time_since_epoch();
    auto const after = boot_time();
    CHECK(before <= now);
    CHECK(now <= after);
}
