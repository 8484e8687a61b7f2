#ifndef MASTICSHIFT_DISPATCH_PLACEMENT_CHOICE_HPP
#define MASTICSHIFT_DISPATCH_PLACEMENT_CHOICE_HPP

#include "endpoint_account.hpp"

#include <dispatch/speed_estimator.hpp>

#include <map>
#include <memory>
#include <string>

namespace masticshift::dispatch
{

using account_ptr = std::unique_ptr<endpoint_account>;
using account_map = std::map<std::string, account_ptr>;

/// An endpoint for a task, and the expected run time there.
struct placement
{
    endpoint_account* endpoint = nullptr;
    duration expected{0};
};

/// What the earlier runs of a task ask of its next endpoint.
struct run_history
{
    /// Nothing else is to run beside it.
    bool alone = false;
    /// Id of an endpoint that is not to be used, or empty.
    std::string avoided;
};

/// Chooses endpoints for tasks.
class placement_choice
{
public:
    placement_choice(account_map const& accounts, speed_estimator const& speeds,
                     double remote_factor)
        : accounts_(accounts), speeds_(speeds), remote_factor_(remote_factor)
    {
    }

    /// The endpoint with enough free capacity on which the task is expected to
    /// end first; among about equally fast ones, warm before cold, the one with
    /// the least free processor (best fit). Fully trusted endpoints come before
    /// those on probation. Only endpoints on which the task ends before
    /// `finish_by` are considered; `endpoint` is null if there is none. A task
    /// that is to run `alone` gets an idle endpoint if there is one.
    placement choose(tracked_job const& job, job_step const& step,
                     int step_number, time_point finish_by, time_point now,
                     run_history const& history = {}) const;

    /// Whether an endpoint other than `id` is in use that could run the task
    /// if it were idle.
    bool has_other_than(std::string const& id, tracked_job const& job,
                        job_step const& step) const;

    /// Estimates how many tasks could start now on fully trusted endpoints and
    /// end before `finish_by`, from the free processor alone once one task
    /// fits.
    std::int64_t free_places(tracked_job const& job, job_step const& step,
                             int step_number, time_point finish_by,
                             time_point now) const;

    /// Whether any known endpoint could run the task if it were idle.
    bool ever_fits(tracked_job const& job, job_step const& step) const;

    duration expected_on(endpoint_account const& account,
                         tracked_job const& job, job_step const& step) const;

private:
    bool admits(endpoint_account const& account, tracked_job const& job,
                job_step const& step, int step_number, time_point now) const;

    account_map const& accounts_;
    speed_estimator const& speeds_;
    double remote_factor_;
};

} // namespace masticshift::dispatch

#endif
