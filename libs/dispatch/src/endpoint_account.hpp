#ifndef MASTICSHIFT_DISPATCH_ENDPOINT_ACCOUNT_HPP
#define MASTICSHIFT_DISPATCH_ENDPOINT_ACCOUNT_HPP

#include "crash_history.hpp"
#include "process_end.hpp"
#include "tracked_job.hpp"

#include <dispatch/endpoint_calls.hpp>
#include <dispatch/endpoint_record.hpp>
#include <dispatch/lease_clock.hpp>
#include <dispatch/limits.hpp>
#include <dispatch/trust_tracker.hpp>

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace masticshift::dispatch
{

enum class run_phase
{
    /// The start was ordered but not confirmed yet.
    starting,
    running,
    /// Started by another dispatcher. Stopped as soon as it is listed.
    foreign
};

/// A run that may be running on an endpoint.
struct placed_run
{
    run_phase phase = run_phase::starting;
    /// Null for a foreign run.
    job_ptr job;
    std::size_t task = 0;
    resources need;
    time_point ordered;
    /// When the endpoint confirmed the start.
    time_point confirmed;
    /// End of the lease in the last start order, by the endpoint's clock. The
    /// endpoint rejects a start order that arrives later.
    std::int64_t lease_until = 0;
    /// By then the endpoint's clock has passed `lease_until`.
    time_point lease_passed{};
    /// Token of the last start order.
    std::int64_t token = 0;
    /// Number of start orders without a response, which may be carried out
    /// later.
    int unanswered_starts = 0;
    duration expected{0};
    int percent = 0;
    /// Last increase of `percent`.
    time_point progressed;
    /// When a list that contains the run was last received.
    time_point listed;
    /// The run is to be stopped.
    bool unwanted = false;
    /// An endpoint has crashed under the task before: nothing else is placed
    /// beside it.
    bool alone = false;
    /// The endpoint was cold when the run was ordered: its run time says
    /// nothing of the VM.
    bool cold = false;
    /// What the end of the endpoint's process says about the task; reset when
    /// the run is listed again.
    crash_evidence crash = crash_evidence::none;
    /// The endpoint's process has ended since the run was last listed. A new
    /// one knows neither the run nor its stop.
    bool process_ended = false;
    /// The new process has the id of the endpoint, and accepts orders to it.
    bool same_id_restarted = false;
    /// Set when the endpoint has confirmed a stop.
    std::optional<time_point> stop_confirmed;
    time_point stop_sent;
};

/// A run that has ended, with its outcome. `end` is empty if the endpoint did
/// not report one: the run never started, or its lease expired.
struct finished_run
{
    run_key key;
    placed_run run;
    std::optional<run_end> end;
};

/// Changes found in the list of an endpoint.
struct list_changes
{
    std::vector<finished_run> finished;
    /// Runs started by another dispatcher and listed for the first time.
    std::vector<run_key> foreign;
    /// Another process than before has answered.
    bool restarted = false;
    /// The process that has answered was not listed before. True also for the
    /// first list of an endpoint.
    bool new_process = false;
};

enum class endpoint_link
{
    /// Its runs have not been listed with the present token.
    unread,
    active,
    /// It is unresponsive.
    silent,
    /// It has rejected the token in favour of a higher one.
    outranked
};

char const* name_of(endpoint_link link);

/// State of one endpoint and its runs, as far as this process knows.
///
/// A run is counted until the endpoint has reported its end, or until none of
/// its leases can be valid any more.
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

    /// Whether the present address of the record has answered the last list.
    bool was_listed_here() const;

    /// Switches to a higher token unless the endpoint is active with the
    /// present one. Returns whether it did; the endpoint then has to be listed
    /// again.
    bool advance_token(std::int64_t token);

    /// Uses a token that is higher than all that were used here, so that the
    /// endpoint rejects the orders that are still in transit. It has to be
    /// listed again.
    void raise_token(std::int64_t token);

    /// Lists the endpoint again before the next start.
    void list_again();

    /// Free capacity for further tasks. None while a foreign run is known.
    resources free() const;

    /// Whether new work may be placed: the endpoint is active and ready, its
    /// clock is known, its record describes the process that answers, and none
    /// of its runs has to be stopped.
    bool takes_work() const;

    /// Start time of the process that answered the last list, in Unix
    /// milliseconds; 0 if it is unknown.
    std::int64_t process_started_ms() const
    {
        return process_started_ms_;
    }

    /// Whether the record is that of the process that answered the last list.
    /// Another process may have other labels and another capacity.
    bool record_matches_process() const;

    /// Whether a newer record is to be read from the store at once. Later on
    /// the regular reads are enough.
    bool needs_record(time_point now) const;

    /// Whether a run there must stay alone.
    bool runs_alone() const
    {
        return lone_runs_ > 0;
    }

    /// Whether it is ready but has not been listed yet, and no call to it has
    /// failed: it is about to take work.
    bool is_being_read() const;

    /// Whether the lease may be renewed: none of the runs there is foreign or
    /// has to be stopped.
    bool all_wanted() const;

    /// Adds a new run and returns the end of its lease.
    std::int64_t add_run(run_key const& key, placed_run run, time_point now);

    /// Returns the end of the lease for another start order of this run, and
    /// sets its token. As a lease covers all runs of the endpoint, it is not
    /// extended while one of them has to be stopped.
    std::int64_t repeat_start(placed_run& run, time_point now);

    /// The next list order, or nothing if none is needed: nothing runs there,
    /// its ends have been acknowledged and no start order may be in transit, or
    /// the token was rejected.
    std::optional<list_order> next_list(time_point now);

    /// Sets the present token in an order that has not been sent yet. Returns
    /// false if it must not be sent any more.
    bool renew_unsent(start_order& order);

    /// Applies the response to a list order that was sent at `sent`. Foreign
    /// runs are added to `runs()`.
    list_changes apply_list(run_list const& list, list_order const& order,
                            time_point sent, time_point now);

    /// All ends up to this number have been acknowledged to the endpoint.
    void record_acknowledged(std::int64_t number);

    /// `sent`: when the call was sent, if that is known.
    void record_clock(std::int64_t endpoint_ms, time_point received,
                      std::optional<time_point> sent = {});
    void record_response(time_point now);
    /// A call got no usable response.
    void record_call_failure(time_point now);
    void record_outranked();
    /// Whether a list with the present token was accepted at or after `begin`.
    bool has_accepted_since(time_point begin) const
    {
        return accepted_ != time_point{} && accepted_ >= begin;
    }
    /// A start order got no response and may still be in transit.
    void record_unanswered_start(time_point now);
    /// Another process than the one whose clock the lease was given by may have
    /// carried out the start of this run: the lease lasts for up to the longest
    /// grant.
    void record_unbound_start(placed_run& run, time_point now);
    /// Whether it is listed because such an order may be.
    bool is_watched(time_point now) const
    {
        return now < watched_until_;
    }
    /// The link has refused a connection: nothing is placed until the endpoint
    /// has been listed again. Whether its process has ended is unknown.
    void record_connection_refused(time_point now);
    /// A list has failed. Returns whether it is the first one since a list was
    /// answered.
    bool record_list_failure()
    {
        return !std::exchange(lists_fail_, true);
    }
    /// The process of the endpoint has ended. No work is placed until the
    /// endpoint has been listed again.
    void record_process_ended(process_end proof, time_point now);
    /// Whether a response has shown so since the last list.
    bool process_ended() const
    {
        return process_ended_;
    }

    /// Removes and returns all runs if none of the leases can be valid any
    /// more, but for starts that the next process of the endpoint may still
    /// get. Does nothing while a foreign run is known, as its lease is unknown.
    std::vector<finished_run> take_expired(time_point now);

    /// Removes and returns the runs that the ended process had confirmed. A
    /// start that may be carried out later, by a new process at the same
    /// address, is kept until its lease has ended.
    std::vector<finished_run> take_ended_with_process(process_end proof);

    /// Returns the runs whose leases ended before their endpoint's process was
    /// known to have ended, with the evidence of its crash.
    std::vector<finished_run> take_lost_with_process();

    /// Removes one run, for example because its start was refused.
    std::optional<finished_run> remove(run_key const& key);

private:
    using run_map = std::map<run_key, placed_run>;

    /// Resets what is known of the former process if the start time in a list
    /// shows a new one, and returns whether it did. The runs stay until a list
    /// shows which have ended, because a start order in transit may have
    /// reached the new process.
    bool reset_if_restarted(std::int64_t started_ms, time_point now);
    /// Whether a run that is missing from the response to this list order, sent
    /// at `sent`, has ended.
    static bool has_ended(placed_run const& run, list_order const& order,
                          time_point sent);
    /// How long the next list should wait for a run to end.
    milliseconds wait_for_end(time_point now) const;
    void apply_active(active_run const& seen, time_point sent, time_point now,
                      list_changes& changes);
    std::int64_t extend_start(placed_run& run, time_point now);
    void record_lease(std::int64_t lease_until);
    /// Marks the runs as lost with the process, whose end was found at `now`.
    /// An endpoint that drains ends as planned, and has not crashed.
    void mark_process_ended(process_end proof, time_point now);
    crash_evidence crash_evidence_of(placed_run const& run,
                                     time_point found) const;
    finished_run take(run_map::iterator place, std::optional<run_end> end);
    /// Whether a new process may carry out a start order of the run.
    bool may_start_later(placed_run const& run, time_point now) const;

    endpoint_record record_;
    std::int64_t token_ = 0;
    dispatch_limits limits_;
    /// When a list with the present token was accepted last.
    time_point accepted_{};
    endpoint_link link_ = endpoint_link::unread;
    lease_clock clock_;
    /// Start time of the process that answered the last list; 0 if unknown.
    std::int64_t process_started_ms_ = 0;
    /// When that start time was first listed.
    time_point process_found_{};
    /// Counts the changes of the record's address, and which one of them
    /// answered the last list.
    int address_number_ = 0;
    std::optional<int> listed_address_;
    std::map<run_key, placed_run> runs_;
    /// Runs whose leases have ended since the last list.
    std::vector<finished_run> expired_;
    std::vector<finished_run> lost_with_process_;
    resources used_;
    int foreign_runs_ = 0;
    int lone_runs_ = 0;
    /// No list has arrived since its process ended.
    bool process_ended_ = false;
    /// Highest number of an end that was listed, and that was acknowledged.
    std::int64_t seen_end_ = 0;
    std::int64_t acknowledged_end_ = 0;
    /// All leases given by this process have ended by this time.
    time_point last_lease_end_{};
    time_point last_response_{};
    time_point last_call_failure_{};
    /// It is listed until then even if nothing runs there.
    time_point watched_until_{};
    /// No list was answered since one has failed.
    bool lists_fail_ = false;
    /// First refused connection since the last response.
    std::optional<time_point> refused_since_;
    trust_tracker health_;
};

} // namespace masticshift::dispatch

#endif
