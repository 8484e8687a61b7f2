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

/// Results of one endpoint for one service, by kind.
struct result_counts
{
    std::uint32_t ok = 0;
    std::uint32_t task_errors = 0;
    std::uint32_t answers_lost = 0;
    std::uint32_t refusals = 0;
    std::uint32_t connect_failures = 0;
};

/// Whether one endpoint is given tasks of one service.
///
/// An endpoint is ejected while it fails far more tasks than the others of
/// the service, so that a task that fails everywhere ejects none. Refusals and
/// connect failures pause it, since such tasks can go elsewhere unharmed.
/// Pauses and ejections grow, with a jitter from `seed`. An ejected endpoint
/// comes back through single tasks.
class endpoint_health
{
public:
    explicit endpoint_health(std::uint64_t seed);

    /// Records a result. `job` is that of the task.
    void record(task_result result, std::uint64_t job, failure_totals& totals,
                time_point now);

    /// Adds this endpoint to the totals of another form of the service.
    void join(failure_totals& totals) const;

    /// Tasks of the service that may run there at the same time.
    unsigned limit(time_point now) const;

    health_state state(time_point now) const;

    /// When the limit changes by itself.
    std::optional<time_point> wake_time(time_point now) const;

    /// Neither ejected nor unreachable for a while.
    bool usable(time_point now) const;

    result_counts const& counts() const
    {
        return counts_;
    }

private:
    void record_success(failure_totals& totals);
    void record_failure(double weight, failure_totals& totals, time_point now);
    double failure_rate() const;
    void add(double bad, failure_totals& totals);
    bool fails_more_than_others(failure_totals const& totals) const;
    void eject(failure_totals& totals, time_point now);
    void pause(duration first, duration longest, time_point now);
    void readmit(failure_totals& totals);

    std::uint64_t seed_;
    time_point blocked_until_{};
    std::uint64_t last_bad_job_ = 0;
    result_counts counts_;
    float results_ = 0;
    float bad_ = 0;
    std::uint16_t ejections_ = 0;
    std::uint16_t pauses_ = 0;
    std::uint16_t connect_failures_in_row_ = 0;
    std::uint16_t refusals_in_row_ = 0;
    std::uint16_t successes_in_row_ = 0;
    bool ejected_ = false;
};

} // namespace masticshift::placement

#endif
