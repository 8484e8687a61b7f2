#ifndef MASTICSHIFT_DAEMON_ENTRY_METRICS_HPP
#define MASTICSHIFT_DAEMON_ENTRY_METRICS_HPP

#include <metrics/registry.hpp>

#include <cstdint>

namespace masticshift::daemon
{

/// Metrics of one entry. Each message is counted by its sender.
struct entry_metrics
{
    std::uint64_t caller_calls = 0;
    std::uint64_t caller_answers = 0;
    std::uint64_t task_calls = 0;
    std::uint64_t task_answers = 0;
    std::uint64_t cancellations = 0;
    std::uint64_t answer_queries = 0;
    std::uint64_t platform_calls = 0;

    std::uint64_t jobs_started = 0;
    std::uint64_t jobs_ok = 0;
    std::uint64_t jobs_failed = 0;
    std::uint64_t jobs_refused = 0;
    std::uint64_t resubmissions = 0;
    std::uint64_t requests_retried = 0;
    std::uint64_t tasks_requeued = 0;

    metrics::registry registry;
    /// From admission to the answer, of jobs and requests that succeeded.
    metrics::latency_histogram& job_time = registry.get_histogram(
        "masticshift_job_seconds", "Time from admission to a good answer");
    /// From the choice of a slot to the endpoint's response.
    metrics::latency_histogram& task_time = registry.get_histogram(
        "masticshift_task_seconds", "Time from placement to the answer");
};

} // namespace masticshift::daemon

#endif
