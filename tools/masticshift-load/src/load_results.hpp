#ifndef MASTICSHIFT_LOAD_LOAD_RESULTS_HPP
#define MASTICSHIFT_LOAD_LOAD_RESULTS_HPP

#include "job_outcome.hpp"
#include "job_source.hpp"
#include "message_counts.hpp"
#include "sample_histogram.hpp"

#include <map>
#include <string>
#include <vector>

namespace masticshift::load
{

/// Jobs that were due in one second of the run.
struct second_row
{
    std::uint64_t due = 0;
    std::uint64_t ok = 0;
    double slowdown_sum = 0;
    double slowdown_max = 0;
};

/// Jobs that were due at one entry, after the warm-up.
struct entry_row
{
    std::string address;
    std::uint64_t due = 0;
    std::uint64_t ok = 0;
    sample_histogram response_ms;
};

/// Results of one run of a scenario. Response times count from the time at
/// which a job was due, even if it was sent later.
struct load_results
{
    explicit load_results(scenario const& plan);

    /// Adds a job that was due at time `due` after the start.
    void add(planned_job const& job, duration due, time_point start,
             job_outcome const& outcome);

    scenario const& plan;
    /// All jobs, including those of the warm-up.
    std::uint64_t jobs = 0;
    std::uint64_t tasks_ok = 0;
    std::uint64_t resubmissions = 0;
    std::uint64_t cancellations = 0;
    /// Jobs without an answer when the run ended.
    std::uint64_t unanswered = 0;
    /// Jobs after the warm-up, by result code or by the way they ended without
    /// one.
    std::map<std::string, std::uint64_t, std::less<>> ends;
    // The following samples are of jobs after the warm-up that ended with `ok`.
    sample_histogram response_ms;
    /// Response time divided by the ideal response time.
    sample_histogram slowdown;
    /// Response time minus the ideal response time.
    sample_histogram added_ms;
    /// How late jobs were sent (all jobs). High values mean that this tool is
    /// the bottleneck.
    sample_histogram send_lag_ms;
    std::vector<entry_row> entries;
    std::vector<second_row> seconds;
    message_counts messages;
    /// Entries whose metrics could not be read at both ends of the run.
    std::uint64_t entries_without_metrics = 0;
};

} // namespace masticshift::load

#endif
