#include "report_text.hpp"

#include <history/checker.hpp>

#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>

DEFINE_bool(json, false, "print the report as one JSON object");
DEFINE_int32(leaving_bound_ms, 3'000,
             "milliseconds after which a leaving endpoint may get no new work");
DEFINE_int32(
    configuration_bound_ms, 3'000,
    "milliseconds after which a committed configuration must be in force");
DEFINE_string(minimum, "",
              "minimum number of facts to examine, by rule: RULE:COUNT pairs "
              "separated by commas, for example 1:50,3:2");
DEFINE_uint64(minimum_each, 0,
              "minimum number of facts to examine for each rule that --minimum "
              "does not name");

namespace
{

using namespace masticshift;

constexpr int exit_holds = 0;
constexpr int exit_broken = 1;
constexpr int exit_usage = 2;

/// Parses one `RULE:COUNT` pair. False: it is malformed or the rule unknown.
bool read_minimum(std::string const& pair, history::check_options& options)
{
    unsigned number = 0;
    unsigned long count = 0;
    char rest = 0;

    if (std::sscanf(pair.c_str(), "%u:%lu%c", &number, &count, &rest) != 2)
        return false;
    if (number < 1 || number > history::rule_count)
        return false;
    options.minimum_examined.at(number - 1) = count;
    return true;
}

bool read_minimums(std::string const& pairs, history::check_options& options)
{
    std::size_t start = 0;
    while (start < pairs.size())
    {
        auto const end = std::min(pairs.find(',', start), pairs.size());
        if (!read_minimum(pairs.substr(start, end - start), options))
            return false;
        start = end + 1;
    }
    return true;
}

int print(std::vector<history::rule_report> const& reports)
{
    if (FLAGS_json)
        std::printf(
            "%s\n",
            boost::json::serialize(history_check::to_json(reports)).c_str());
    else
        for (auto const& report : reports)
            std::printf("%s", history_check::to_text(report).c_str());
    bool const all_hold = std::ranges::all_of(reports, history::holds);
    return all_hold ? exit_holds : exit_broken;
}

int run(std::vector<std::string> const& paths)
{
    history::check_options options;
    options.leaving_bound = milliseconds(FLAGS_leaving_bound_ms);
    options.configuration_bound = milliseconds(FLAGS_configuration_bound_ms);
    options.minimum_examined.fill(FLAGS_minimum_each);
    if (paths.empty() || !read_minimums(FLAGS_minimum, options))
    {
        std::fprintf(stderr, "usage: history_check [--json] [--minimum "
                             "RULE:COUNT,...] FILE...\n");
        return exit_usage;
    }
    auto const recorded = history::read_history(paths);
    if (!recorded)
    {
        std::fprintf(stderr, "%s\n", recorded.error().detail.c_str());
        return exit_usage;
    }
    return print(history::check(*recorded, options));
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "history_check FILE...\n"
        "Checks recorded histories. Exit code 0: every "
        "rule holds, 1: a rule does not hold, 2: invalid input.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return run({argv + 1, argv + argc});
}
