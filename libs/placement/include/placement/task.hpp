#ifndef MASTICSHIFT_PLACEMENT_TASK_HPP
#define MASTICSHIFT_PLACEMENT_TASK_HPP

#include <config/operator_configuration.hpp>
#include <core/result_code.hpp>
#include <core/time.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace masticshift::placement
{

/// Identifies a task by the number of its job (`job_request::job`) and its
/// index in the job.
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
    /// Chosen by the user of the engine; unique among its present jobs.
    std::uint64_t job = 0;
    std::string service;
    /// Declared size of each task, in units of the service's run time.
    std::vector<float> sizes;
    time_point deadline;
};

/// Result of `engine::admit`.
struct admission
{
    /// `ok`, `unknown_service`, `never_runnable`, `too_many_tasks`,
    /// `dependency_unavailable`, `overloaded` or `deadline_unreachable`; for an
    /// invalid call `malformed_request` (no tasks) or `internal` (job number in
    /// use).
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
    /// The endpoint reported that this attempt did not run and never will.
    refused_not_run,
    /// No connection, or no byte of the call was written.
    not_connected,
    /// The call was sent but no response was received; the task may have run.
    lost,
    cancelled
};

std::string_view name_of(task_result result);

/// Whether the result guarantees that the task did not start.
bool certainly_not_started(task_result result);

/// Why a task was placed on its slot, for logs.
enum class placement_reason
{
    /// The fastest endpoint with a free slot.
    fastest_free,
    /// As `fastest_free`, on a borrowed slot.
    fastest_borrowed,
    /// A slower slot, used because it is not predicted to delay the job's end.
    slow_without_delay,
    /// The endpoint was ejected and is probed with one task.
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
    /// Number of this attempt of the task, from 1.
    unsigned attempt = 1;
    placement_reason reason = placement_reason::fastest_free;
    /// Predicted run time.
    duration predicted{};
};

} // namespace masticshift::placement

#endif
