#ifndef MASTICSHIFT_FAULT_MATRIX_STEP_HPP
#define MASTICSHIFT_FAULT_MATRIX_STEP_HPP

#include <history/checker.hpp>

#include <span>
#include <string>
#include <string_view>

namespace masticshift::fault_matrix
{

/// What is under way when a fault strikes.
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

/// Whose history shows that a step is reached.
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
    observer seen_by;
    /// The event that shows it.
    std::string_view event;
    /// The rule that a fault at this step is aimed at.
    history::rule guards;
};

/// All steps, in the order of the enumeration.
std::span<step_info const> steps();

step_info const& info_of(step kind);

/// Whether the first entry is stopped gracefully to get to the step.
bool needs_drain(step kind);

} // namespace masticshift::fault_matrix

#endif
