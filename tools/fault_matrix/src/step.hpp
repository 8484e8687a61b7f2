#ifndef MASTICSHIFT_FAULT_MATRIX_STEP_HPP
#define MASTICSHIFT_FAULT_MATRIX_STEP_HPP

#include <history/checker.hpp>

#include <span>
#include <string>
#include <string_view>

namespace masticshift::fault_matrix
{

/// The operation that is in progress when a fault starts.
enum class step
{
    submit,
    admit,
    place,
    start,
    answer,
    resubmit,
    apply,
    drain,
    hand_over
};

/// Which process's history shows that a step has been reached.
enum class observer
{
    caller,
    entry,
    endpoint,
    platform
};

struct step_info
{
    step kind;
    std::string_view name;
    observer observed_by;
    /// Name of the event that shows it.
    std::string_view event;
    /// The rule that a fault at this step tests, unless the fault names one.
    history::rule rule_under_test;
};

/// All steps, in the order of the enumeration.
std::span<step_info const> steps();

step_info const& info_of(step kind);

/// Whether the first entry must be stopped gracefully to reach the step.
bool needs_drain(step kind);

} // namespace masticshift::fault_matrix

#endif
