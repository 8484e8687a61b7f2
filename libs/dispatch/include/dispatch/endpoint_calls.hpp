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

/// One start of one task. Starts of a task are numbered upwards.
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
};

/// Asks an endpoint to stop a run, and not to start it later.
struct stop_order
{
    std::string endpoint;
    run_key run;
    std::int64_t token = 0;
};

/// Reads what runs on an endpoint and may renew its lease.
struct list_order
{
    std::int64_t token = 0;
    /// Ends up to this number are forgotten by the endpoint.
    std::int64_t acknowledged_end = 0;
    /// New end of the lease by the endpoint's clock. Nothing: not renewed.
    std::optional<std::int64_t> lease_until;
    /// How long the endpoint waits for an end before it answers.
    milliseconds wait{0};
};

/// What an endpoint answered to a start or a stop.
enum class order_answer
{
    accepted,
    /// A higher token was seen.
    outranked,
    /// This or a later run was stopped or has ended there.
    run_too_old,
    /// The lease had ended before the order arrived.
    too_late,
    /// Not enough room.
    no_room,
    /// The endpoint can't read the order.
    malformed,
    /// The endpoint does nothing for now.
    unhealthy,
    /// Another process answers at this address.
    other_instance,
    /// No byte of the order was sent.
    not_sent,
    /// It may have been carried out, or may still be.
    unanswered
};

char const* name_of(order_answer answer);

/// A run that is at work.
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
    /// Its lease ended.
    lapsed,
    /// Another member of its group ended, or never came.
    group_broken
};

char const* name_of(run_end end);

struct ended_run
{
    /// Counts the ends of one life of the endpoint, from 1.
    std::int64_t number = 0;
    run_key run;
    run_end end = run_end::lapsed;
};

/// What runs and what has ended on an endpoint.
struct run_list
{
    std::vector<active_run> active;
    std::vector<ended_run> ended;
    /// 0 when the endpoint does not tell.
    std::int64_t started_ms = 0;
};

} // namespace masticshift::dispatch

#endif
