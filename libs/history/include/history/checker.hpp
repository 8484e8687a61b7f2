#ifndef MASTICSHIFT_HISTORY_CHECKER_HPP
#define MASTICSHIFT_HISTORY_CHECKER_HPP

#include <core/time.hpp>
#include <history/history.hpp>

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace masticshift::history
{

/// The rules that a history is checked against. Reports name a rule by its
/// number.
enum class rule : unsigned
{
    task_starts_once = 1,
    answer_complete = 2,
    answer_own = 3,
    not_run_true = 4,
    request_runs_once = 5,
    leaving_endpoint_spared = 6,
    graceful_stop = 7,
    configuration_in_force = 8
};

inline constexpr std::size_t rule_count = 8;

struct rule_info
{
    rule number;
    std::string_view name;
    std::string_view statement;
};

/// All rules, ordered by number.
std::array<rule_info, rule_count> const& rules();

struct check_options
{
    /// Tasks may still start at an endpoint for this long after it was recorded
    /// as leaving.
    milliseconds leaving_bound{3'000};
    /// Time after its commit by which a configuration is in force at each
    /// entry.
    milliseconds configuration_bound{3'000};
    /// Least number of cases that each rule has to examine, indexed by the
    /// number of the rule less one. A history with fewer cases proves nothing.
    std::array<std::size_t, rule_count> minimum_examined{};
};

struct violation
{
    std::string detail;
    /// The records that show the violation, as `FILE:LINE event`.
    std::vector<std::string> evidence;
};

struct rule_report
{
    rule number = rule::task_starts_once;
    /// Cases in the history to which the rule applies.
    std::size_t examined = 0;
    /// From `check_options::minimum_examined`.
    std::size_t required = 0;
    std::vector<violation> violations;
};

/// Whether there is no violation and enough cases were examined.
bool holds(rule_report const& report);

/// Checks every rule, in the order of their numbers.
std::vector<rule_report> check(recorded_history const& history,
                               check_options const& options);

} // namespace masticshift::history

#endif
