#ifndef MASTICSHIFT_PLACEMENT_ENGINE_HPP
#define MASTICSHIFT_PLACEMENT_ENGINE_HPP

#include <placement/engine_settings.hpp>
#include <placement/peer.hpp>
#include <placement/policy.hpp>
#include <placement/status.hpp>
#include <placement/task.hpp>

#include <config/operator_configuration.hpp>
#include <core/time.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticshift::placement
{

/// Decides which task starts on which endpoint slot, and when.
///
/// Single-threaded, without I/O. `now` must not decrease from call to call.
/// Compiled in the library for the policies of `policy.hpp`.
template <placement_policy Policy>
class engine
{
public:
    explicit engine(engine_settings settings);
    ~engine();
    engine(engine&&) noexcept;
    engine& operator=(engine&&) noexcept;

    /// Applies a configuration. When a service is removed or its endpoints
    /// change, jobs admitted before keep its former endpoints.
    void configure(config::operator_configuration const& text, time_point now);

    /// Replaces the list of live entries of all data centres. This entry is
    /// added when it is missing.
    void set_entries(std::vector<live_entry> live, time_point now);

    /// Replaces the set of endpoints (`IP:PORT`) that get no new work.
    void set_leaving(std::vector<std::string> const& addresses, time_point now);

    /// Queues a job or refuses it. A refused job is not recorded.
    admission admit(job_request const& request, time_point now);

    /// All tasks that start now, in the order in which they were chosen.
    std::vector<assignment> place(time_point now);

    /// Records the end of an attempt and frees its slot. If the result shows
    /// that the task did not start (`certainly_not_started`), the caller must
    /// then call `requeue` or `cancel`. A job is removed when its last task has
    /// ended.
    void finished(task_ref task, task_result result, duration took,
                  time_point now);

    /// Queues a task again whose last attempt certainly did not start. Returns
    /// false when its attempts are exhausted or its job is cancelled or
    /// unknown; the job is then to be cancelled with `cancel`.
    bool requeue(task_ref task, time_point now);

    /// Drops the queued tasks of a job. Returns its running tasks, for each of
    /// which `finished` must still be called.
    std::vector<task_ref> cancel(std::uint64_t job, time_point now);

    /// Returns the calls to other entries that ask to borrow slots for queued
    /// tasks; to be sent now. Each must be followed by `accept_loans`, with no
    /// loans when the call failed.
    std::vector<borrow_request> take_borrow_requests(time_point now);

    /// Answers a borrow call of another entry: lends it up to `count` idle
    /// slots and returns the loans.
    std::vector<loan> lend(std::string_view service, unsigned count,
                           std::string_view borrower, std::int64_t incarnation,
                           time_point now);

    /// Records the response to a borrow call. Ignored when the call has already
    /// timed out.
    void accept_loans(std::string_view lender, std::vector<loan> const& loans,
                      time_point now);

    /// Returns borrowed slots that are unused and that their lender can use,
    /// to be returned before their loans end. This entry stops using them.
    std::vector<returned_loans> take_surplus_loans(time_point now);

    /// Ends loans early: the borrower has returned these slots.
    void accept_returned_loans(std::string_view borrower,
                               std::int64_t incarnation,
                               std::vector<loan> const& loans, time_point now);

    /// The latest time at which to call `place`, `take_borrow_requests` and
    /// `take_surplus_loans` again if no other call changes the state first.
    std::optional<time_point> next_event(time_point now) const;

    /// Load of each configured service, for heartbeats.
    std::vector<service_load> load(time_point now) const;

    engine_status status(time_point now) const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace masticshift::placement

#endif
