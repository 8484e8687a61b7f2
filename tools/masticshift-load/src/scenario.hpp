#ifndef MASTICSHIFT_LOAD_SCENARIO_HPP
#define MASTICSHIFT_LOAD_SCENARIO_HPP

#include <config/daemon_settings.hpp>
#include <core/outcome.hpp>
#include <core/time.hpp>
#include <history/event.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace masticshift::load
{

/// Table `[[entry]]`.
struct entry_target
{
    config::socket_address address;
    config::socket_address operator_address;
    /// Share of the jobs, relative to the sum of all weights.
    double weight = 1;
};

enum class run_time_shape
{
    constant,
    uniform,
    exponential,
    log_normal
};

/// Table `[run_time]`: how long a task runs at an endpoint of speed 1.
struct run_time_spec
{
    run_time_shape shape = run_time_shape::constant;
    double mean_ms = 50;
    /// Standard deviation of the logarithm, for `log_normal`.
    double sigma = 1;
    double min_ms = 1;
    double max_ms = 10'000;
    /// Run time that corresponds to a declared size of 1. 0: no size is
    /// declared.
    double declared_unit_ms = 0;
    /// Declared sizes are too large or too small by up to this factor.
    double declared_error = 1;
};

/// Table `[[phase]]`: a time span in which the rate is multiplied by a factor.
struct load_phase
{
    milliseconds from{0};
    milliseconds to{0};
    double rate_factor = 1;
};

enum class action_kind
{
    /// POSTs `body` to `path` at `address`, for example to an endpoint's
    /// `/control` or an entry's `/drain`.
    post,
    /// Cancels a fraction of the open jobs.
    cancel_wave
};

/// Table `[[action]]`.
struct load_action
{
    milliseconds at{0};
    action_kind kind = action_kind::post;
    config::socket_address address;
    std::string path;
    std::string body;
    /// Fraction of the open jobs that `cancel_wave` cancels.
    double part = 1;
};

/// The load: which jobs are sent to which entries, when, and other actions.
struct scenario
{
    std::uint64_t seed = 1;
    std::string service;
    history::call_kind kind = history::call_kind::job;
    bool idempotent = false;
    unsigned tasks_per_job = 1;
    double jobs_per_s = 10;
    milliseconds run_for{10'000};
    /// Jobs that are due earlier are sent but not included in the measurements.
    milliseconds warm_up{1'000};
    /// Maximum time to wait for answers after the last job was sent.
    milliseconds settle{10'000};
    milliseconds timeout{10'000};
    /// Speed of the fastest endpoint, for the ideal response time.
    double fastest_speed = 1;
    /// How often a job without a known outcome is submitted again, at the next
    /// entry.
    unsigned resubmissions = 0;
    run_time_spec run_time;
    std::vector<entry_target> entries;
    std::vector<load_phase> phases;
    std::vector<load_action> actions;
};

/// Parses and checks a scenario. Error details have the form
/// `ORIGIN:LINE: detail`, error codes are in the range 400 to 499.
outcome<scenario> parse_scenario(std::string_view toml,
                                 std::string const& origin);

outcome<scenario> load_scenario(std::string const& path);

} // namespace masticshift::load

#endif
