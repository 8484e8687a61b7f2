#include "soak_run.hpp"

#include <gflags/gflags.h>

#include <cstdio>
#include <filesystem>
#include <iterator>

DEFINE_uint32(seed, 1, "the first seed");
DEFINE_uint32(seeds, 1, "number of runs, one seed each");
DEFINE_uint32(seconds, 15, "seconds of each run in which faults are injected");
DEFINE_uint32(gateways, 4, "gateway processes");
DEFINE_uint32(endpoints, 8, "endpoints of the platform stand-in");
DEFINE_bool(regressions, false, "run the seeds that found faults before");
DEFINE_bool(handovers, false,
            "kill and stop gateways while endpoints drain; no faults of the "
            "store");
DEFINE_bool(links, false,
            "refuse, reset and cut links to endpoints that work on, while "
            "others restart and orders are held up");
DEFINE_bool(abandoned, false,
            "hold data on links between gateways and pause gateways, so that "
            "jobs arrive after those who sent them have given up");
DEFINE_bool(evacuations, false,
            "evacuate data centres while entries and the store fail");
DEFINE_bool(keep, false, "keep the logs of all runs, also of those that pass");
DEFINE_string(program, "",
              "path of masticshiftd; default: in the folder of this program");

namespace
{

using namespace masticshift;

/// A seed whose run exposed a fault of masticshift.
struct regression
{
    unsigned seed = 0;
    unsigned seconds = 0;
    gateway_soak::fault_set faults = gateway_soak::fault_set::all;
    /// See `soak_options::drains_restart`.
    bool drains_restart = false;
    char const* cause;
};

constexpr regression regressions[] = {
    {105, 8, gateway_soak::fault_set::first, true,
     "an order reached the new incarnation of an endpoint"},
    {111, 8, gateway_soak::fault_set::first, true,
     "an order reached the new incarnation of an endpoint"},
    {700, 12, gateway_soak::fault_set::links, false,
     "a link that refused connections was taken for an endpoint that had "
     "ended"},
};

gateway_soak::fault_set chosen_faults()
{
    if (FLAGS_handovers)
        return gateway_soak::fault_set::handovers;
    if (FLAGS_abandoned)
        return gateway_soak::fault_set::abandoned_jobs;
    if (FLAGS_evacuations)
        return gateway_soak::fault_set::evacuations;
    return FLAGS_links ? gateway_soak::fault_set::links
                       : gateway_soak::fault_set::all;
}

bool run(unsigned seed, gateway_soak::fault_set faults, bool drains_restart)
{
    gateway_soak::soak_options options;
    options.program = FLAGS_program;
    options.seed = seed;
    options.length = milliseconds(1'000 * FLAGS_seconds);
    options.gateways = FLAGS_gateways;
    options.endpoints = FLAGS_endpoints;
    options.keep = FLAGS_keep;
    options.drains_restart = drains_restart;
    options.faults = faults;
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

int finish(unsigned passed, unsigned runs)
{
    std::printf("%u passed, %u failed\n", passed, runs - passed);
    return passed == runs ? 0 : 1;
}

int run_seeds()
{
    unsigned passed = 0;
    for (unsigned i = 0; i < FLAGS_seeds; ++i)
        passed += run(FLAGS_seed + i, chosen_faults(), false) ? 1 : 0;
    return finish(passed, FLAGS_seeds);
}

int run_regressions()
{
    unsigned passed = 0;
    for (auto const& each : regressions)
    {
        std::printf("seed %u: %s\n", each.seed, each.cause);
        FLAGS_seconds = each.seconds;
        passed += run(each.seed, each.faults, each.drains_restart) ? 1 : 0;
    }
    return finish(passed, static_cast<unsigned>(std::size(regressions)));
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("runs gateway processes under random faults");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_program.empty())
        FLAGS_program =
            (std::filesystem::canonical("/proc/self/exe").parent_path() /
             "masticshiftd")
                .string();
    return FLAGS_regressions ? run_regressions() : run_seeds();
}
