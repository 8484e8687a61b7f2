// Callers and entries of interleaving_model.

#include "interleaving_model.hpp"

#include <algorithm>
#include <utility>

namespace masticshift::dispatch::testing
{

void interleaving_model::maybe_submit()
{
    if (open_jobs_.size() < 12 && chance(40))
        submit("job" + std::to_string(next_job_++));
    for (auto each = resend_at_.begin(); each != resend_at_.end();)
    {
        auto const next = std::next(each);
        if (now_ >= each->second && submit(each->first))
            resend_at_.erase(each);
        each = next;
    }
}

bool interleaving_model::submit(std::string const& id)
{
    auto& cell = cells_[static_cast<std::size_t>(pick(0, 1))];
    if (!cell.present)
        return false;
    auto const origin = entry_name(pick(0, entry_count - 1));
    auto spec = make_spec(id, 3);
    spec.steps[0].estimate = run_length(id);
    spec.slack_factor = 20;
    spec.submission = ++submissions_;
    open_jobs_[id] = {cell.present->number, origin, spec.submission};
    if (chance(rates_.held_submissions))
    {
        hold(*cell.present, origin, std::move(spec));
        return true;
    }
    record({}, id + " submitted to " + name_of_driver(*cell.present));
    cell.present->tested->submit(std::move(spec), origin,
                                 time_of(*cell.present));
    return true;
}

void interleaving_model::hold(driver const& to, std::string const& origin,
                              job_spec spec)
{
    held_submission held;
    held.driver = to.number;
    held.origin = origin;
    held.last_reading = {to.number,
                         reading_at(time_of(to)) -
                             pick_time(milliseconds(0), longest_reading_age)};
    held.arrives = now_ + pick_time(milliseconds(0), longest_hold);
    held.given_up = now_ + pick_time(milliseconds(0), longest_wait);
    held.withdrawn =
        held.given_up + pick_time(milliseconds(0), longest_withdrawal);
    record({}, spec.id + " held up on its way to " + name_of_driver(to));
    held.spec = std::move(spec);
    held_submissions_.push_back(std::move(held));
}

void interleaving_model::deliver_submissions()
{
    for (auto& each : held_submissions_)
    {
        if (!each.is_given_up && now_ >= each.given_up)
            give_up(each);
        if (!each.is_withdrawn && now_ >= each.withdrawn)
            deliver_withdrawal(each);
        if (!each.has_arrived && now_ >= each.arrives)
            deliver_submission(each);
    }
    std::erase_if(held_submissions_,
                  [](held_submission const& each)
                  {
                      return each.has_arrived && each.is_withdrawn;
                  });
}

void interleaving_model::give_up(held_submission& held)
{
    held.is_given_up = true;
    auto const known = open_jobs_.find(held.spec.id);
    if (known == open_jobs_.end() ||
        known->second.submission != held.spec.submission)
        return;
    record({}, held.spec.id + " given up");
    open_jobs_.erase(known);
    resend_at_[held.spec.id] = now_ + resend_delay;
}

void interleaving_model::deliver_withdrawal(held_submission& held)
{
    held.is_withdrawn = true;
    auto* const to = find_driver(held.driver);
    if (to == nullptr)
        return;
    to->submissions.record_withdrawal(held.origin, held.spec.id,
                                      held.spec.submission, time_of(*to));
    auto const known = open_jobs_.find(held.spec.id);
    bool const submitted_again = known != open_jobs_.end() &&
                                 known->second.driver == to->number &&
                                 known->second.origin == held.origin;
    if (!submitted_again)
        to->tested->withdraw(held.spec.id, held.origin, time_of(*to));
}

void interleaving_model::deliver_submission(held_submission& held)
{
    held.has_arrived = true;
    auto* const to = find_driver(held.driver);
    if (to == nullptr)
        return;
    auto const& id = held.spec.id;
    auto const now = time_of(*to);
    counts_.given_up += held.is_given_up ? 1 : 0;
    entry_identity const self{{}, held.driver, {}, 0};
    if (submission_guard::is_outdated(held.last_reading, self, true, now))
    {
        ++counts_.outdated;
        refuse(held);
    }
    else if (to->submissions.is_withdrawn(held.origin, id, held.spec.submission,
                                          now))
    {
        ++counts_.withdrawn;
        refuse(held);
    }
    else
    {
        record({}, id + " arrives at " + name_of_driver(*to));
        to->tested->submit(held.spec, held.origin, now);
    }
}

void interleaving_model::refuse(held_submission const& held)
{
    auto const known = open_jobs_.find(held.spec.id);
    if (known == open_jobs_.end() ||
        known->second.submission != held.spec.submission)
        return;
    open_jobs_.erase(known);
    resend_at_[held.spec.id] = now_;
}

std::string interleaving_model::entry_name(int number) const
{
    return "n" + std::to_string(number) + "-" +
           std::to_string(incarnations_.at(static_cast<std::size_t>(number)));
}

void interleaving_model::resend_jobs_of(driver const& lost, duration noticed)
{
    std::erase_if(open_jobs_,
                  [&](auto const& each)
                  {
                      if (each.second.driver != lost.number)
                          return false;
                      resend_at_[each.first] = now_ + noticed + resend_delay;
                      return true;
                  });
}

void interleaving_model::maybe_kill_entry()
{
    if (!chance(1) || !chance(rates_.entry_deaths))
        return;
    ++counts_.entry_deaths;
    auto const number = pick(0, entry_count - 1);
    auto const died = entry_name(number);
    record({}, "entry " + died + " dies");
    ++incarnations_.at(static_cast<std::size_t>(number));
    std::erase_if(open_jobs_,
                  [&](auto const& each)
                  {
                      if (each.second.origin != died)
                          return false;
                      resend_at_[each.first] = now_ + resend_delay;
                      return true;
                  });
    for (auto& cell : cells_)
    {
        for (auto* const each : {cell.present.get(), cell.former.get()})
        {
            if (each == nullptr)
                continue;
            cancel_origin(
                *each, died,
                now_ + pick_time(dead_after, dead_after + longest_check));
            cut_off_some(*each);
        }
    }
}

void interleaving_model::take_finished(driver& from)
{
    for (auto const& job : from.tested->take_finished())
    {
        auto const known = open_jobs_.find(job.id);
        if (known == open_jobs_.end() || known->second.driver != from.number ||
            known->second.origin != job.origin ||
            job.result.reason == end_reason::superseded)
            continue;
        open_jobs_.erase(known);
        if (job.result.end == job_end::unknown)
            resend_at_[job.id] = now_ + resend_delay;
    }
}

} // namespace masticshift::dispatch::testing
