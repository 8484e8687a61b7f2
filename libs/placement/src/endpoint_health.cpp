#include <placement/endpoint_health.hpp>

#include "stable_hash.hpp"

#include <algorithm>
#include <cmath>

namespace masticshift::placement
{

namespace
{

// Each result lets this part of the earlier ones count.
constexpr float decay = 1.0F - 1.0F / 32;
// Results that are added to the judged ones as successes.
constexpr double prior_successes = 4;
constexpr double min_bad = 2.5;
constexpr double min_rate_above_others = 0.15;
constexpr double rate_over_others = 1.5;
// Further failures of the job that failed last, since the task may be at
// fault.
constexpr double same_job_weight = 0.125;
constexpr double lost_weight = 1.5;

constexpr auto first_ejection = milliseconds(1'000);
constexpr auto longest_ejection = milliseconds(60'000);
constexpr auto first_refusal_pause = milliseconds(5);
constexpr auto longest_refusal_pause = milliseconds(200);
constexpr auto first_connect_pause = milliseconds(50);
constexpr auto longest_connect_pause = milliseconds(5'000);
constexpr unsigned refusals_to_pause = 3;
constexpr unsigned unreachable_after = 3;
constexpr unsigned successes_to_readmit = 4;
constexpr unsigned max_doublings = 16;
constexpr unsigned no_limit = ~0U;

duration with_jitter(duration length, std::uint64_t seed, unsigned step)
{
    double const part = to_unit_interval(stable_hash(step, seed));
    auto const count = static_cast<double>(length.count()) * (0.75 + part / 2);
    return duration(static_cast<duration::rep>(count));
}

duration doubled(duration first, duration longest, unsigned times)
{
    duration::rep const factor = 1LL << std::min(times, max_doublings);
    return std::min<duration>(first * factor, longest);
}

template <class Number>
void count_up(Number& number)
{
    number = static_cast<Number>(number + 1);
    if (number == 0)
        --number;
}

} // namespace

std::string_view name_of(health_state state)
{
    switch (state)
    {
    case health_state::healthy:
        return "healthy";
    case health_state::paused:
        return "paused";
    case health_state::ejected:
        return "ejected";
    case health_state::probing:
        break;
    }
    return "probing";
}

endpoint_health::endpoint_health(std::uint64_t seed) : seed_(seed)
{
}

void endpoint_health::record(task_result result, std::uint64_t job,
                             failure_totals& totals, time_point now)
{
    bool const same_job = job == last_bad_job_;
    switch (result)
    {
    case task_result::ok:
        count_up(counts_.ok);
        record_success(totals);
        break;
    case task_result::failed:
        count_up(counts_.task_errors);
        last_bad_job_ = job;
        record_failure(same_job ? same_job_weight : 1, totals, now);
        break;
    case task_result::lost:
        count_up(counts_.answers_lost);
        last_bad_job_ = job;
        record_failure(same_job ? 1 : lost_weight, totals, now);
        break;
    case task_result::refused_not_run:
        count_up(counts_.refusals);
        count_up(refusals_in_row_);
        // The slot may only have been lent for longer than its owner thinks.
        if (refusals_in_row_ >= refusals_to_pause)
            pause(first_refusal_pause, longest_refusal_pause, now);
        break;
    case task_result::not_connected:
        count_up(counts_.connect_failures);
        count_up(connect_failures_in_row_);
        pause(first_connect_pause, longest_connect_pause, now);
        break;
    case task_result::cancelled:
        break;
    }
}

void endpoint_health::record_success(failure_totals& totals)
{
    add(0, totals);
    pauses_ = 0;
    refusals_in_row_ = 0;
    connect_failures_in_row_ = 0;
    if (!ejected_)
        return;
    count_up(successes_in_row_);
    if (successes_in_row_ >= successes_to_readmit)
        readmit(totals);
}

void endpoint_health::record_failure(double weight, failure_totals& totals,
                                     time_point now)
{
    add(weight, totals);
    successes_in_row_ = 0;
    connect_failures_in_row_ = 0;
    if (ejected_)
    {
        // Results of tasks that ran before the ejection do not lengthen it.
        if (now < blocked_until_)
            return;
        if (fails_more_than_others(totals))
            eject(totals, now);
        else
            readmit(totals);
        return;
    }
    if (totals.may_eject_another() && fails_more_than_others(totals))
        eject(totals, now);
}

double endpoint_health::failure_rate() const
{
    return bad_ / (results_ + prior_successes);
}

void endpoint_health::add(double bad, failure_totals& totals)
{
    totals.rates -= failure_rate();
    results_ = results_ * decay + 1;
    bad_ = bad_ * decay + static_cast<float>(bad);
    totals.rates += failure_rate();
}

bool endpoint_health::fails_more_than_others(failure_totals const& totals) const
{
    if (bad_ < min_bad || totals.endpoints < 2)
        return false;
    double const others = std::max(0.0, totals.rates - failure_rate());
    double const others_rate = others / (totals.endpoints - 1);
    return failure_rate() >
           min_rate_above_others + rate_over_others * others_rate;
}

void endpoint_health::eject(failure_totals& totals, time_point now)
{
    if (!ejected_)
        ++totals.ejected;
    ejected_ = true;
    successes_in_row_ = 0;
    auto const length = doubled(first_ejection, longest_ejection, ejections_);
    blocked_until_ = now + with_jitter(length, seed_, ejections_);
    count_up(ejections_);
}

void endpoint_health::pause(duration first, duration longest, time_point now)
{
    auto const length = doubled(first, longest, pauses_);
    count_up(pauses_);
    blocked_until_ =
        std::max(blocked_until_, now + with_jitter(length, seed_, pauses_));
}

void endpoint_health::readmit(failure_totals& totals)
{
    ejected_ = false;
    --totals.ejected;
    totals.rates -= failure_rate();
    results_ = 0;
    bad_ = 0;
    // A relapse soon after waits longer than the first ejection did.
    ejections_ = static_cast<std::uint16_t>(ejections_ / 2);
}

void endpoint_health::join(failure_totals& totals) const
{
    totals.rates += failure_rate();
    if (ejected_)
        ++totals.ejected;
}

unsigned endpoint_health::limit(time_point now) const
{
    if (now < blocked_until_)
        return 0;
    return ejected_ ? 1 : no_limit;
}

health_state endpoint_health::state(time_point now) const
{
    if (now >= blocked_until_)
        return ejected_ ? health_state::probing : health_state::healthy;
    return ejected_ ? health_state::ejected : health_state::paused;
}

std::optional<time_point> endpoint_health::wake_time(time_point now) const
{
    if (now < blocked_until_)
        return blocked_until_;
    return std::nullopt;
}

bool endpoint_health::usable(time_point now) const
{
    if (now >= blocked_until_)
        return true;
    return !ejected_ && connect_failures_in_row_ < unreachable_after;
}

} // namespace masticshift::placement
