#include "arrival_process.hpp"

#include <boost/random/exponential_distribution.hpp>

#include <algorithm>

namespace masticshift::load
{

namespace
{

double to_seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

} // namespace

arrival_process::arrival_process(scenario const& plan)
    : base_rate_(plan.jobs_per_s),
      phases_(plan.phases),
      end_s_(to_seconds(plan.run_for)),
      random_(plan.seed)
{
}

std::optional<duration> arrival_process::next()
{
    // Exponentially distributed number of expected arrivals until the next one.
    // Each time span of constant rate reduces it by its rate times its length.
    double remaining_arrivals =
        boost::random::exponential_distribution<double>(1)(random_);
    while (at_s_ < end_s_)
    {
        double const rate = rate_at(at_s_);
        double const change = next_change_after(at_s_);
        if (rate > 0 && at_s_ + remaining_arrivals / rate < change)
        {
            at_s_ += remaining_arrivals / rate;
            return std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(at_s_));
        }
        remaining_arrivals -= (change - at_s_) * rate;
        at_s_ = change;
    }
    return std::nullopt;
}

double arrival_process::rate_at(double at_s) const
{
    double rate = base_rate_;
    for (auto const& phase : phases_)
    {
        if (at_s >= to_seconds(phase.from) && at_s < to_seconds(phase.to))
            rate *= phase.rate_factor;
    }
    return rate;
}

double arrival_process::next_change_after(double at_s) const
{
    double change = end_s_;
    for (auto const& phase : phases_)
    {
        for (double const edge : {to_seconds(phase.from), to_seconds(phase.to)})
        {
            if (edge > at_s)
                change = std::min(change, edge);
        }
    }
    return change;
}

} // namespace masticshift::load
