#ifndef MASTICSHIFT_DAEMON_ENTRY_METRICS_HPP
#define MASTICSHIFT_DAEMON_ENTRY_METRICS_HPP

#include <metrics/registry.hpp>

#include <cstdint>

namespace masticshift::daemon
{

/// What one entry counts. Messages are counted where they are sent.
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
    std::uint64_t tasks_placed_anew = 0;

    metrics::registry registry;
    /// From admission to the answer, of jobs and requests that ended well.
    metrics::latency_histogram& job_time = registry.get_histogram(
        "masticshift_job_seconds", "Time from admission to a good answer");
    /// From choosing a slot to the endpoint's answer.
    metrics::latency_histogram& task_time = registry.get_histogram(
        "masticshift_task_seconds", "Time from placement to the answer");
};

} // namespace masticshift::daemon

#endif
