#include "row_run.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <mutex>

DEFINE_bool(full, false, "run every fault at every step, then pairs of faults");
DEFINE_bool(list, false, "print the rows and exit");
DEFINE_string(row, "", "run only the rows whose name contains this text");
DEFINE_uint32(pairs, 30, "number of rows with two faults in the full run");
DEFINE_uint32(seed, 20'261'204,
              "seed of the random pairs and of the callers' load");
DEFINE_uint32(repeat, 1, "number of runs of each row, each with another seed");
DEFINE_uint32(jobs, 1, "number of rows that run at the same time");
DEFINE_string(programs, "",
              "folder with the executables; default is the folder of this one");

namespace
{

using namespace masticshift;
using fault_matrix::row;

constexpr std::size_t shown_reasons = 12;

/// Prints the result of each row and counts passes and failures.
class summary
{
public:
    void add(row const& tested, unsigned seed,
             fault_matrix::verdict const& result)
    {
        std::lock_guard const lock(mutex_);
        ++(result.passed ? passed_ : failed_);
        std::printf("%s %s rule %u, %zu facts, seed %u\n",
                    result.passed ? "pass" : "FAIL", tested.name.c_str(),
                    static_cast<unsigned>(tested.rule_under_test),
                    result.examined, seed);
        auto const count = std::min(result.reasons.size(), shown_reasons);
        for (std::size_t i = 0; i < count; ++i)
            std::printf("     %s\n", result.reasons[i].c_str());
        if (!result.folder.empty())
            std::printf("     histories in %s\n", result.folder.c_str());
        std::fflush(stdout);
    }

    int finish() const
    {
        std::printf("%u passed, %u failed\n", passed_, failed_);
        return failed_ == 0 && passed_ > 0 ? 0 : 1;
    }

private:
    std::mutex mutex_;
    unsigned passed_ = 0;
    unsigned failed_ = 0;
};

std::vector<row> all_rows()
{
    auto rows = fault_matrix::single_rows();
    auto const pairs = fault_matrix::pair_rows(FLAGS_pairs, FLAGS_seed);
    rows.insert(rows.end(), pairs.begin(), pairs.end());
    return rows;
}

std::vector<row> chosen_rows()
{
    if (FLAGS_row.empty())
        return FLAGS_full || FLAGS_list ? all_rows()
                                        : fault_matrix::short_rows();
    auto rows = all_rows();
    std::erase_if(rows,
                  [](row const& each)
                  {
                      return each.name.find(FLAGS_row) == std::string::npos;
                  });
    return rows;
}

int list(std::vector<row> const& rows)
{
    for (auto const& each : rows)
        std::printf("%s rule %u\n", each.name.c_str(),
                    static_cast<unsigned>(each.rule_under_test));
    return 0;
}

int run(std::vector<row> const& rows)
{
    summary results;
    boost::asio::thread_pool workers(std::max(1U, FLAGS_jobs));
    for (unsigned i = 0; i < FLAGS_repeat; ++i)
    {
        for (auto const& each : rows)
        {
            boost::asio::post(
                workers,
                [&results, &each, seed = FLAGS_seed + i]
                {
                    fault_matrix::run_options const options{FLAGS_programs,
                                                            seed};
                    results.add(each, seed,
                                fault_matrix::run_row(each, options));
                });
        }
    }
    workers.join();
    return results.finish();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("injects faults into a system of real processes "
                            "and checks its histories");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_programs.empty())
        FLAGS_programs =
            std::filesystem::canonical("/proc/self/exe").parent_path().string();
    auto const rows = chosen_rows();
    return FLAGS_list ? list(rows) : run(rows);
}
