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

/// What a history can prove or disprove. The numbers are those of reports.
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
    /// Work may still start at an endpoint for this long after its leaving
    /// was seen.
    milliseconds leaving_bound{3'000};
    /// Time until a committed configuration is in force everywhere.
    milliseconds configuration_bound{3'000};
    /// Facts that each rule has to have examined, by number less one.
    std::array<std::size_t, rule_count> minimum{};
};

struct violation
{
    std::string detail;
    /// The records that show it, as `FILE:LINE event`.
    std::vector<std::string> evidence;
};

struct rule_report
{
    rule number = rule::task_starts_once;
    /// Facts that could have broken the rule.
    std::size_t examined = 0;
    std::size_t required = 0;
    std::vector<violation> violations;
};

/// No violation, and enough facts examined.
bool holds(rule_report const& report);

/// Checks every rule, in the order of their numbers.
std::vector<rule_report> check(recorded_history const& history,
                               check_options const& options);

} // namespace masticshift::history

#endif
