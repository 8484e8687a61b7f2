#ifndef MASTICSHIFT_PLACEMENT_ENDPOINT_HEALTH_HPP
#define MASTICSHIFT_PLACEMENT_ENDPOINT_HEALTH_HPP

#include <placement/failure_totals.hpp>
#include <placement/status.hpp>
#include <placement/task.hpp>

#include <core/time.hpp>

#include <cstdint>
#include <optional>

namespace masticshift::placement
{

/// Numbers of results of one endpoint for one service, by kind.
struct result_counts
{
    std::uint32_t ok = 0;
    std::uint32_t task_errors = 0;
    std::uint32_t answers_lost = 0;
    std::uint32_t refusals = 0;
    std::uint32_t connect_failures = 0;
};

/// Decides whether one endpoint gets tasks of one service.
///
/// An endpoint is ejected when its failure rate is far above that of the
/// service's other endpoints; a task that fails at all endpoints therefore
/// ejects none. Refusals and connect failures only pause an endpoint, since
/// the task did not start and can be placed elsewhere. Pauses and ejections
/// back off exponentially, with a jitter derived from `seed`. After an
/// ejection the endpoint gets one task at a time (probes) until enough of them
/// succeed.
class endpoint_health
{
public:
    explicit endpoint_health(std::uint64_t seed);

    /// Records the result of one attempt. `job` is the job of the task.
    void record(task_result result, std::uint64_t job, failure_totals& totals,
                time_point now);

    /// Adds this endpoint's failure rate and ejection to `totals`, when a new
    /// configuration of the service takes over its state.
    void add_to(failure_totals& totals) const;

    /// Maximum number of this service's tasks that may run at the endpoint at
    /// the same time.
    unsigned limit(time_point now) const;

    health_state state(time_point now) const;

    /// When the present pause or ejection ends, if there is one.
    std::optional<time_point> wake_time(time_point now) const;

    /// False while the endpoint is ejected, or paused after repeated connect
    /// failures.
    bool usable(time_point now) const;

    result_counts const& counts() const
    {
        return counts_;
    }

private:
    void record_success(failure_totals& totals);
    void record_failure(double weight, failure_totals& totals, time_point now);
    double failure_rate() const;
    void add_result(double failure_weight, failure_totals& totals);
    bool fails_more_than_others(failure_totals const& totals) const;
    void eject(failure_totals& totals, time_point now);
    void pause(duration first, duration longest, time_point now);
    void readmit(failure_totals& totals);

    std::uint64_t seed_;
    time_point blocked_until_{};
    std::uint64_t last_failed_job_ = 0;
    result_counts counts_;
    /// Number of results and sum of failure weights, both with exponential
    /// decay.
    float results_ = 0;
    float failures_ = 0;
    std::uint16_t ejections_ = 0;
    std::uint16_t pauses_ = 0;
    std::uint16_t connect_failures_in_row_ = 0;
    std::uint16_t refusals_in_row_ = 0;
    std::uint16_t successes_in_row_ = 0;
    bool ejected_ = false;
};

} // namespace masticshift::placement

#endif
