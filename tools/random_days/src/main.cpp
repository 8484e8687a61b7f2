#include "day_text.hpp"

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_uint32(seed, 1, "seed of the day");
DEFINE_uint32(least, 2, "smallest number of troubles");
DEFINE_uint32(most, 10, "largest number of troubles");

int main(int argc, char** argv)
{
    using namespace masticshift::random_days;
    constexpr int exit_usage = 2;

    gflags::SetUsageMessage("prints a day of random troubles for the bench");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc > 1 || FLAGS_least > FLAGS_most)
    {
        std::fprintf(stderr, "random_days: no arguments are expected, and "
                             "--least must not exceed --most\n");
        return exit_usage;
    }
    auto const day = draw_day(FLAGS_seed, {FLAGS_least, FLAGS_most});
    std::fputs(to_toml(day).c_str(), stdout);
    return 0;
}
