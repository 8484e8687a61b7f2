#ifndef MASTICSHIFT_DISPATCH_ENDPOINT_ACCOUNT_HPP
#define MASTICSHIFT_DISPATCH_ENDPOINT_ACCOUNT_HPP

#include "tracked_job.hpp"

#include <dispatch/endpoint_calls.hpp>
#include <dispatch/endpoint_record.hpp>
#include <dispatch/lease_clock.hpp>
#include <dispatch/limits.hpp>
#include <dispatch/trust_tracker.hpp>

#include <map>
#include <optional>
#include <vector>

namespace masticshift::dispatch
{

enum class run_phase
{
    /// The order was given out, its answer is open.
    starting,
    running,
    /// Started by somebody else. Stopped as soon as it is seen.
    foreign
};

/// A run that an endpoint may be at work on.
struct placed_run
{
    run_phase phase = run_phase::starting;
    /// Nothing for a foreign run.
    job_ptr job;
    std::size_t task = 0;
    resources need;
    time_point ordered;
    /// The endpoint has confirmed the start.
    time_point confirmed;
    /// End of the lease that the start carried, by the endpoint's clock. A
    /// start that arrives later does nothing.
    std::int64_t lease_until = 0;
    duration expected{0};
    int percent = 0;
    time_point progressed;
    /// The job no longer wants it.
    bool unwanted = false;
    /// Set when the endpoint has confirmed a stop.
    std::optional<time_point> stop_confirmed;
    time_point stop_sent;
};

/// A run that is over, with how it ended. Nothing: it never ran, or its lease
/// ended unseen.
struct finished_run
{
    run_key key;
    placed_run run;
    std::optional<run_end> end;
};

/// What a list has told.
struct list_changes
{
    std::vector<finished_run> over;
    /// Runs that somebody else has started, seen for the first time.
    std::vector<run_key> foreign;
};

enum class endpoint_link
{
    /// Its runs have not been read with the present token.
    unread,
    active,
    /// It does not answer.
    silent,
    /// It has seen a higher token.
    outranked
};

char const* name_of(endpoint_link link);

/// What runs on one endpoint, as far as this process knows.
///
/// A run is counted until the endpoint has said that it is over, or until no
/// lease of it can be in force any more.
class endpoint_account
{
public:
    endpoint_account(endpoint_record record, std::int64_t token,
                     dispatch_limits limits);

    endpoint_record const& record() const
    {
        return record_;
    }

    endpoint_link link() const
    {
        return link_;
    }

    std::int64_t token() const
    {
        return token_;
    }

    std::map<run_key, placed_run>& runs()
    {
        return runs_;
    }

    std::map<run_key, placed_run> const& runs() const
    {
        return runs_;
    }

    trust_tracker& health()
    {
        return health_;
    }

    trust_tracker const& health() const
    {
        return health_;
    }

    void update(endpoint_record record);

    /// Takes a higher token where the present one is of no use: the endpoint
    /// has refused it, does not answer, or has not been read. True where that
    /// is so.
    bool advance_token(std::int64_t token);

    /// A new life of the endpoint may have begun, whose clock and numbers start
    /// anew. Its next list tells which runs are over: an order on its way may
    /// have reached the new life. True if a new life has begun.
    bool begin_new_life(std::int64_t started_ms);

    /// Room for further tasks. None while something foreign runs.
    resources free() const;

    /// Whether new work may be placed: active, ready, and all that runs there
    /// is wanted.
    bool takes_work() const;

    /// Whether the lease may be renewed: everything that may run there belongs
    /// to a job that is wanted.
    bool all_wanted() const;

    /// Counts a new run and gives the end of its lease.
    std::int64_t begin_run(run_key const& key, placed_run run, time_point now);

    /// What to ask next. Nothing: nothing runs there, and it has been read.
    std::optional<list_order> next_list(time_point now);

    /// Takes a list whose request was sent at `sent`. Foreign runs are added
    /// to `runs()`.
    list_changes apply_list(run_list const& list, time_point sent,
                            time_point now);

    /// The endpoint was told of all ends up to this number.
    void note_acknowledged(std::int64_t number);

    void note_clock(std::int64_t endpoint_ms, time_point received);
    void note_answer(time_point now);
    /// A call got no answer.
    void note_silence(time_point now);
    void note_outranked();
    /// The endpoint has less room than is accounted: read it before the next
    /// start.
    void note_mismatch();

    /// The runs that are over for want of a lease in force.
    std::vector<finished_run> take_lapsed(time_point now);

    /// Removes one run, for example when its start was refused.
    std::optional<finished_run> remove(run_key const& key);

private:
    using run_map = std::map<run_key, placed_run>;

    bool is_over(placed_run const& run, time_point sent) const;
    /// How long a list should wait for an end.
    milliseconds wait_for_end(time_point now) const;
    void note_active(active_run const& seen, time_point sent, time_point now,
                     list_changes& changes);
    void note_lease(std::int64_t lease_until);
    finished_run take(run_map::iterator place, std::optional<run_end> end);
    std::vector<finished_run> take_all();

    endpoint_record record_;
    std::int64_t token_ = 0;
    dispatch_limits limits_;
    endpoint_link link_ = endpoint_link::unread;
    lease_clock clock_;
    std::map<run_key, placed_run> runs_;
    resources used_;
    int foreign_runs_ = 0;
    /// The highest end that was seen, and that the endpoint was told of.
    std::int64_t seen_end_ = 0;
    std::int64_t acknowledged_end_ = 0;
    /// No lease that this process has ever given is in force after this.
    time_point leases_over_{};
    time_point last_answer_{};
    trust_tracker health_;
};

} // namespace masticshift::dispatch

#endif
