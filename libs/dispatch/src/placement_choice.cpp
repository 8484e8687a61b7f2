#include "placement_choice.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace masticshift::dispatch
{

namespace
{

/// Width of a speed class in units of the natural logarithm. Learnt speeds are
/// off by some 15 % after a dozen runs; endpoints within it count as equally
/// fast.
constexpr double speed_step = 0.2;

int speed_class(duration expected)
{
    auto const ms = std::max(to_milliseconds(expected), 0.01);
    return static_cast<int>(std::floor(std::log(ms) / speed_step));
}

int runs_of_step(endpoint_account const& account, tracked_job const& job,
                 int step)
{
    auto const belongs = [&](auto const& each)
    {
        auto const& run = each.second;
        return run.job && run.job->number == job.number &&
               run.job->tasks[run.task].step == step;
    };
    return static_cast<int>(std::ranges::count_if(account.runs(), belongs));
}

bool suits(endpoint_record const& record, tracked_job const& job,
           job_step const& step)
{
    return record.service == job.spec.service &&
           (step.required_label.empty() ||
            record.has_label(step.required_label));
}

} // namespace

duration placement_choice::expected_on(endpoint_account const& account,
                                       tracked_job const& job,
                                       job_step const& step) const
{
    auto const& record = account.record();
    auto const near =
        speeds_.expected(job.spec.queue, record.vm, step.estimate);
    if (step.preferred_rack.empty() || record.has_label(step.preferred_rack))
        return near;
    return std::chrono::duration_cast<duration>(near * remote_factor_);
}

bool placement_choice::admits(endpoint_account const& account,
                              tracked_job const& job, job_step const& step,
                              int step_number, time_point now) const
{
    if (!account.takes_work() || account.runs_alone() ||
        !suits(account.record(), job, step) || !fits(step.need, account.free()))
        return false;
    auto const trust = account.health().trust(now);
    if (trust == endpoint_trust::ejected)
        return false;
    if (trust == endpoint_trust::probation && !account.runs().empty())
        return false;
    return step.max_per_endpoint == 0 ||
           runs_of_step(account, job, step_number) < step.max_per_endpoint;
}

placement placement_choice::choose(tracked_job const& job, job_step const& step,
                                   int step_number, time_point finish_by,
                                   time_point now,
                                   run_history const& history) const
{
    using rank = std::tuple<bool, bool, int, bool, std::int64_t>;
    placement best;
    rank best_rank;
    for (auto const& [id, account] : accounts_)
    {
        if (id == history.avoided ||
            !admits(*account, job, step, step_number, now))
            continue;
        auto const expected = expected_on(*account, job, step);
        if (now + expected > finish_by)
            continue;
        auto const trusted =
            account->health().trust(now) == endpoint_trust::full;
        bool const shared = history.alone && !account->runs().empty();
        rank const candidate{shared, !trusted, speed_class(expected),
                             account->record().is_cold(now),
                             account->free().processor};
        if (best.endpoint != nullptr && candidate >= best_rank)
            continue;
        best = {account.get(), expected};
        best_rank = candidate;
    }
    return best;
}

std::int64_t placement_choice::free_places(tracked_job const& job,
                                           job_step const& step,
                                           int step_number,
                                           time_point finish_by,
                                           time_point now) const
{
    std::int64_t places = 0;
    for (auto const& [id, account] : accounts_)
    {
        if (!admits(*account, job, step, step_number, now) ||
            account->health().trust(now) != endpoint_trust::full ||
            (finish_by != time_point::max() &&
             now + expected_on(*account, job, step) > finish_by))
            continue;
        auto const need = std::max<std::int64_t>(step.need.processor, 1);
        places += account->free().processor / need;
    }
    return places;
}

bool placement_choice::has_other_than(std::string const& id,
                                      tracked_job const& job,
                                      job_step const& step) const
{
    return std::ranges::any_of(
        accounts_,
        [&](auto const& each)
        {
            auto const& record = each.second->record();
            return record.id != id &&
                   each.second->link() == endpoint_link::active &&
                   record.stage == endpoint_stage::ready &&
                   suits(record, job, step) && fits(step.need, record.capacity);
        });
}

bool placement_choice::ever_fits(tracked_job const& job,
                                 job_step const& step) const
{
    return std::ranges::any_of(accounts_,
                               [&](auto const& each)
                               {
                                   auto const& record = each.second->record();
                                   return suits(record, job, step) &&
                                          fits(step.need, record.capacity);
                               });
}

} // namespace masticshift::dispatch
