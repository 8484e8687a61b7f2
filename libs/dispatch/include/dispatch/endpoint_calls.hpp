#ifndef MASTICSHIFT_DISPATCH_ENDPOINT_CALLS_HPP
#define MASTICSHIFT_DISPATCH_ENDPOINT_CALLS_HPP

#include <core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace masticshift::dispatch
{

/// Identifies one run of a task. Later runs of a task have higher numbers.
struct run_key
{
    std::string task;
    std::int64_t number = 0;

    friend bool operator==(run_key const&, run_key const&) = default;

    friend bool operator<(run_key const& left, run_key const& right)
    {
        return std::tie(left.task, left.number) <
               std::tie(right.task, right.number);
    }
};

/// Asks an endpoint to start a run.
struct start_order
{
    std::string endpoint;
    run_key run;
    std::string payload;
    /// End of the lease by the endpoint's clock.
    std::int64_t lease_until = 0;
    std::int64_t token = 0;
    /// Start time of the process whose clock, labels and capacity the order
    /// assumes; 0 if it is unknown. No other process must get the order.
    std::int64_t process_started_ms = 0;
    /// Set by the sender, with the response: the order was sent over a
    /// connection to that process, and no other one can have got it.
    bool bound = false;
};

/// Asks an endpoint to stop a run, and to reject a start order for it that
/// arrives later.
struct stop_order
{
    std::string endpoint;
    run_key run;
    std::int64_t token = 0;
};

/// Asks an endpoint for its runs, and may renew the lease of all of them.
struct list_order
{
    std::int64_t token = 0;
    /// Ends up to this number have been received; the endpoint discards them.
    std::int64_t acknowledged_end = 0;
    /// New end of the lease by the endpoint's clock. Empty: not renewed.
    std::optional<std::int64_t> lease_until;
    /// How long the endpoint may wait for a run to end before it responds (long
    /// polling).
    milliseconds wait{0};
    /// Number of the endpoint's address that it is sent to. Counts the changes
    /// of the record.
    int address_number = 0;
    /// Start time of the process whose clock and numbers of ends the order
    /// assumes; 0 if it assumes none. No other process must get it.
    std::int64_t process_started_ms = 0;

    /// The same order for any process: it renews no lease, acknowledges no end
    /// and does not wait.
    list_order for_any_process() const
    {
        return {token, 0, std::nullopt, milliseconds(0), address_number, 0};
    }
};

/// Outcome of an order to an endpoint.
enum class order_response
{
    accepted,
    /// Rejected: the endpoint has seen a higher token.
    outranked,
    /// This run or a later one of the task was stopped or has ended there.
    run_too_old,
    /// The lease had ended before the order arrived.
    too_late,
    /// Not enough free capacity.
    no_room,
    /// The endpoint can't read the order.
    malformed,
    /// The endpoint accepts no orders for now.
    unhealthy,
    /// Another process answers at this address.
    other_instance,
    /// Not sent: the process that the order assumes has ended, or the run is
    /// no longer wanted.
    outdated,
    /// Not sent: no process has identified itself over a new connection.
    unidentified,
    /// No process listens at the address.
    connection_refused,
    /// No byte of the order was sent.
    not_sent,
    /// No response came. The order may have been carried out, or may still be.
    unanswered
};

char const* name_of(order_response response);

/// A run in progress.
struct active_run
{
    run_key run;
    int percent = 0;
};

enum class run_end
{
    done,
    failed,
    stopped,
    /// Its lease expired.
    lapsed,
    /// Another member of its group ended, or never started.
    group_broken
};

char const* name_of(run_end end);

struct ended_run
{
    /// Sequence number of this end, from 1 for each incarnation of the
    /// endpoint.
    std::int64_t number = 0;
    run_key run;
    run_end end = run_end::lapsed;
};

/// What runs and what has ended on an endpoint.
struct run_list
{
    std::vector<active_run> active;
    std::vector<ended_run> ended;
    /// Start of the endpoint's incarnation; 0 if the endpoint does not report
    /// it.
    std::int64_t started_ms = 0;
    /// All runs in progress are in `active`. Otherwise a run that is not in it
    /// may be at work.
    bool complete = true;
};

} // namespace masticshift::dispatch

#endif
