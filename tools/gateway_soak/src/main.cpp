#include "soak_run.hpp"

#include <gflags/gflags.h>

#include <cstdio>
#include <filesystem>

DEFINE_uint32(seed, 1, "the first seed");
DEFINE_uint32(seeds, 1, "number of runs, one seed each");
DEFINE_uint32(seconds, 15, "length of a run's faults");
DEFINE_uint32(gateways, 4, "gateway processes");
DEFINE_uint32(endpoints, 8, "endpoints of the platform's double");
DEFINE_bool(keep, false, "keep the logs of all runs");
DEFINE_string(program, "", "masticshiftd; by default the one beside this");

namespace
{

using namespace masticshift;

bool run(unsigned seed)
{
    gateway_soak::soak_options options;
    options.program = FLAGS_program;
    options.seed = seed;
    options.length = milliseconds(1'000 * FLAGS_seconds);
    options.gateways = FLAGS_gateways;
    options.endpoints = FLAGS_endpoints;
    options.keep = FLAGS_keep;
    auto const result = gateway_soak::run_soak(options);
    std::printf("%s seed %u: %s\n", result.findings.empty() ? "pass" : "FAIL",
                seed, result.summary.c_str());
    for (auto const& finding : result.findings)
        std::printf("     %s\n", finding.c_str());
    if (!result.folder.empty())
        std::printf("     logs in %s\n", result.folder.c_str());
    std::fflush(stdout);
    return result.findings.empty();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("runs real gateways under random faults");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_program.empty())
        FLAGS_program = (std::filesystem::canonical("/proc/self/exe")
                             .parent_path() /
                         "masticshiftd")
                            .string();
    unsigned passed = 0;
    for (unsigned i = 0; i < FLAGS_seeds; ++i)
        passed += run(FLAGS_seed + i) ? 1 : 0;
    std::printf("%u passed, %u failed\n", passed, FLAGS_seeds - passed);
    return passed == FLAGS_seeds ? 0 : 1;
}
