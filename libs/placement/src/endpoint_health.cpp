#include <placement/endpoint_health.hpp>

#include "stable_hash.hpp"

#include <algorithm>
#include <cmath>

namespace masticshift::placement
{

namespace
{

// Each result multiplies the weight of the earlier ones by this factor.
constexpr float decay = 1.0F - 1.0F / 32;
// Successes that are added to the recorded results when the failure rate is
// computed.
constexpr double prior_successes = 4;
// An endpoint is ejected when the weight of its failures is at least
// `min_failure_weight` and its failure rate exceeds
// `min_rate_above_others + rate_over_others * (mean rate of the others)`.
constexpr double min_failure_weight = 2.5;
constexpr double min_rate_above_others = 0.15;
constexpr double rate_over_others = 1.5;
// Weight of a further `failed` result of the job that failed last, since its
// tasks rather than the endpoint may be at fault. Otherwise the weight is 1.
constexpr double same_job_weight = 0.125;
// Weight of a `lost` result; 1 if it is of the job that failed last.
constexpr double lost_weight = 1.5;

constexpr auto first_ejection = milliseconds(1'000);
constexpr auto longest_ejection = milliseconds(60'000);
constexpr auto first_refusal_pause = milliseconds(5);
constexpr auto longest_refusal_pause = milliseconds(200);
constexpr auto first_connect_pause = milliseconds(50);
constexpr auto longest_connect_pause = milliseconds(5'000);
constexpr unsigned refusals_to_pause = 3;
constexpr unsigned connect_failures_to_unusable = 3;
constexpr unsigned successes_to_readmit = 4;
constexpr unsigned max_doublings = 16;
constexpr unsigned no_limit = ~0U;

duration with_jitter(duration length, std::uint64_t seed, unsigned step)
{
    double const part = to_unit_interval(stable_hash(step, seed));
    auto const count = static_cast<double>(length.count()) * (0.75 + part / 2);
    return duration(static_cast<duration::rep>(count));
}

duration exponential_backoff(duration first, duration longest,
                             unsigned doublings)
{
    duration::rep const factor = 1LL << std::min(doublings, max_doublings);
    return std::min<duration>(first * factor, longest);
}

template <class Number>
void increment_saturating(Number& number)
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
    bool const same_job = job == last_failed_job_;
    switch (result)
    {
    case task_result::ok:
        increment_saturating(counts_.ok);
        record_success(totals);
        break;
    case task_result::failed:
        increment_saturating(counts_.task_errors);
        last_failed_job_ = job;
        record_failure(same_job ? same_job_weight : 1, totals, now);
        break;
    case task_result::lost:
        increment_saturating(counts_.answers_lost);
        last_failed_job_ = job;
        record_failure(same_job ? 1 : lost_weight, totals, now);
        break;
    case task_result::refused_not_run:
        increment_saturating(counts_.refusals);
        increment_saturating(refusals_in_row_);
        // A single refusal may come from a slot that another entry still uses
        // beyond the end of its loan.
        if (refusals_in_row_ >= refusals_to_pause)
            pause(first_refusal_pause, longest_refusal_pause, now);
        break;
    case task_result::not_connected:
        increment_saturating(counts_.connect_failures);
        increment_saturating(connect_failures_in_row_);
        pause(first_connect_pause, longest_connect_pause, now);
        break;
    case task_result::cancelled:
        break;
    }
}

void endpoint_health::record_success(failure_totals& totals)
{
    add_result(0, totals);
    pauses_ = 0;
    refusals_in_row_ = 0;
    connect_failures_in_row_ = 0;
    if (!ejected_)
        return;
    increment_saturating(successes_in_row_);
    if (successes_in_row_ >= successes_to_readmit)
        readmit(totals);
}

void endpoint_health::record_failure(double weight, failure_totals& totals,
                                     time_point now)
{
    add_result(weight, totals);
    successes_in_row_ = 0;
    connect_failures_in_row_ = 0;
    if (ejected_)
    {
        // Results of tasks started before the ejection do not extend it.
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
    return failures_ / (results_ + prior_successes);
}

void endpoint_health::add_result(double failure_weight, failure_totals& totals)
{
    totals.rates -= failure_rate();
    results_ = results_ * decay + 1;
    failures_ = failures_ * decay + static_cast<float>(failure_weight);
    totals.rates += failure_rate();
}

bool endpoint_health::fails_more_than_others(failure_totals const& totals) const
{
    if (failures_ < min_failure_weight || totals.endpoints < 2)
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
    auto const length =
        exponential_backoff(first_ejection, longest_ejection, ejections_);
    blocked_until_ = now + with_jitter(length, seed_, ejections_);
    increment_saturating(ejections_);
}

void endpoint_health::pause(duration first, duration longest, time_point now)
{
    auto const length = exponential_backoff(first, longest, pauses_);
    increment_saturating(pauses_);
    blocked_until_ =
        std::max(blocked_until_, now + with_jitter(length, seed_, pauses_));
}

void endpoint_health::readmit(failure_totals& totals)
{
    ejected_ = false;
    --totals.ejected;
    totals.rates -= failure_rate();
    results_ = 0;
    failures_ = 0;
    // Halved, not reset: a further ejection soon after lasts longer than the
    // first one.
    ejections_ = static_cast<std::uint16_t>(ejections_ / 2);
}

void endpoint_health::add_to(failure_totals& totals) const
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
    return !ejected_ && connect_failures_in_row_ < connect_failures_to_unusable;
}

} // namespace masticshift::placement
