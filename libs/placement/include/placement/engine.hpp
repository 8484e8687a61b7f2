#ifndef MASTICSHIFT_PLACEMENT_ENGINE_HPP
#define MASTICSHIFT_PLACEMENT_ENGINE_HPP

#include <placement/engine_settings.hpp>
#include <placement/peer.hpp>
#include <placement/policy.hpp>
#include <placement/status.hpp>
#include <placement/task.hpp>

#include <config/service_text.hpp>
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
/// Single-threaded, without I/O. `now` never goes back from call to call.
/// Compiled in the library for the policies of `policy.hpp`.
template <placement_policy Policy>
class engine
{
public:
    explicit engine(engine_settings settings);
    ~engine();
    engine(engine&&) noexcept;
    engine& operator=(engine&&) noexcept;

    /// Puts a text in force. Jobs that were admitted before keep the service
    /// as it was then.
    void configure(config::service_text const& text, time_point now);

    /// Replaces the view of the live entries, of all data centres. This entry
    /// is added when it is missing.
    void set_entries(std::vector<entry_view> live, time_point now);

    /// Replaces the set of endpoints (`IP:PORT`) that get no new work.
    void set_leaving(std::vector<std::string> const& addresses, time_point now);

    /// Queues a job or refuses it. A refused job leaves nothing behind.
    admission admit(job_request const& request, time_point now);

    /// All tasks that start now, in the order in which they were chosen.
    std::vector<assignment> place(time_point now);

    /// Ends an attempt and frees its slot. After a result that certainly did
    /// not start, `requeue` or `cancel` has to follow. A job whose last task
    /// has ended is forgotten.
    void finished(task_ref task, task_result result, duration took,
                  time_point now);

    /// Queues a task again that certainly did not start. False when it has
    /// used up its attempts or its job is cancelled; `cancel` it then.
    bool requeue(task_ref task, time_point now);

    /// Drops the queued tasks of a job. Returns the running ones, for each of
    /// which `finished` still has to be called.
    std::vector<task_ref> cancel(std::uint64_t job, time_point now);

    /// Borrow calls to be made now. Each is to be followed by `accept_loans`,
    /// with no loans when the call failed.
    std::vector<borrow_request> take_borrow_requests(time_point now);

    /// Answers a borrow call of another entry.
    std::vector<loan> lend(std::string_view service, unsigned count,
                           std::string_view borrower, std::int64_t incarnation,
                           time_point now);

    /// Takes the answer to a borrow call. One that was given up before is
    /// ignored.
    void accept_loans(std::string_view lender, std::vector<loan> const& loans,
                      time_point now);

    /// Loans that are worth a message to return before they end.
    std::vector<give_back> take_surplus_loans(time_point now);

    /// Takes back slots before the end of their loan.
    void accept_returned_loans(std::string_view borrower,
                               std::int64_t incarnation,
                               std::vector<loan> const& loans, time_point now);

    /// When `place`, `take_borrow_requests` and `take_surplus_loans` are to be
    /// called again at the latest, unless another call changes the state
    /// before.
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
