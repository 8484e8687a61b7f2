#ifndef MASTICSHIFT_PLACEMENT_TASK_HPP
#define MASTICSHIFT_PLACEMENT_TASK_HPP

#include <config/service_text.hpp>
#include <core/result_code.hpp>
#include <core/time.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace masticshift::placement
{

/// A task, by the number that the caller gave its job and its place in it.
struct task_ref
{
    std::uint64_t job = 0;
    std::uint32_t task = 0;

    friend bool operator==(task_ref const&, task_ref const&) = default;
    friend bool operator<(task_ref const& a, task_ref const& b)
    {
        return a.job != b.job ? a.job < b.job : a.task < b.task;
    }
};

/// A job to be admitted.
struct job_request
{
    /// Not in use by another job of this engine.
    std::uint64_t job = 0;
    std::string service;
    /// Declared size of each task, in units of the service's run time.
    std::vector<float> sizes;
    time_point deadline;
};

/// The answer to a `job_request`.
struct admission
{
    /// `ok`, `unknown_service`, `never_runnable`, `too_many_tasks`,
    /// `dependency_unavailable`, `overloaded` or `deadline_unreachable`.
    result_code code = result_code::ok;
    std::string detail;

    bool accepted() const
    {
        return code == result_code::ok;
    }
};

/// How one attempt to run a task ended.
enum class task_result
{
    ok,
    /// The task ran and the endpoint reported an error.
    failed,
    /// The endpoint said that this attempt did not run and never will.
    refused_not_run,
    /// No connection, or no byte was written.
    not_connected,
    /// Written, and no answer came.
    lost,
    cancelled
};

std::string_view name_of(task_result result);

/// Whether a result leaves it certain that the task did not start.
bool certainly_not_started(task_result result);

/// Why a task was given to its slot, for logs.
enum class placement_reason
{
    /// The fastest endpoint with a free slot.
    fastest_free,
    /// As before, on a slot on loan.
    fastest_borrowed,
    /// A slower slot that does not delay the job's end.
    slow_without_delay,
    /// The endpoint was ejected and is tried with one task.
    probe
};

std::string_view name_of(placement_reason reason);

/// A task that starts now.
struct assignment
{
    task_ref task;
    /// Valid until `finished` is called for the task.
    config::endpoint_config const* endpoint = nullptr;
    unsigned slot = 0;
    bool borrowed = false;
    /// From 1.
    unsigned attempt = 1;
    placement_reason reason = placement_reason::fastest_free;
    /// Predicted run time.
    duration predicted{};
};

} // namespace masticshift::placement

#endif
