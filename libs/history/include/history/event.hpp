#ifndef MASTICSHIFT_HISTORY_EVENT_HPP
#define MASTICSHIFT_HISTORY_EVENT_HPP

#include <core/result_code.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace masticshift::history
{

/// One attempt at one task, written `ID/INDEX/ATTEMPT`.
struct attempt_name
{
    std::string id;
    unsigned index = 0;
    unsigned attempt = 0;

    friend bool operator==(attempt_name const&, attempt_name const&) = default;
};

std::string to_string(attempt_name const& task);
std::optional<attempt_name> parse_attempt_name(std::string_view text);

/// Whether a call submits a job or a single request.
enum class call_kind
{
    job,
    request
};

std::string_view name_of(call_kind kind);
std::optional<call_kind> call_kind_of(std::string_view name);

enum class vm_condition
{
    live,
    leaving
};

std::string_view name_of(vm_condition condition);
std::optional<vm_condition> vm_condition_of(std::string_view name);

// In a line of a history, the fields of an event have the names of the members
// below. Result codes are written as numbers, other enumerations by name, tasks
// as `ID/INDEX/ATTEMPT`. Digests are formed by `history/digest.hpp`.

// Events of callers.

/// A caller is about to write a call to its connection. A resubmission is
/// another call with the same id.
struct call_sent
{
    /// Unique among the calls of one source.
    std::uint64_t call = 0;
    std::string id;
    /// Address of the entry for callers.
    std::string entry;
    std::string service;
    call_kind kind = call_kind::job;
    bool idempotent = false;
    /// Digest of the input of each task, in order.
    std::vector<std::string> inputs;
};

/// The part of an answer that belongs to one task.
struct task_answer
{
    unsigned task = 0;
    /// Digest of the input as the endpoint returned it in its output.
    std::string echo;
    /// Digest of the whole output.
    std::string output;

    friend bool operator==(task_answer const&, task_answer const&) = default;
};

/// A complete response with the answer arrived.
struct call_answered
{
    std::uint64_t call = 0;
    /// The id that the answer names.
    std::string id;
    result_code code = result_code::ok;
    ran_state ran = ran_state::unknown;
    std::vector<task_answer> answers;
};

/// The connection ended after the call was written and before the complete
/// response arrived. Not recorded when the connection could not be made or when
/// the caller itself abandoned the call.
struct call_broken
{
    std::uint64_t call = 0;
    std::string id;
};

// Events of entries.

/// The first event of each process of an entry.
struct entry_started
{
    std::int64_t incarnation = 0;
    std::string caller_address;
};

struct job_admitted
{
    std::string id;
    /// Revision of the configuration that applies to the job.
    std::uint64_t revision = 0;
};

struct job_refused
{
    std::string id;
    result_code code = result_code::internal;
    ran_state ran = ran_state::unknown;
};

/// Recorded before the first byte of the task is sent to the endpoint.
struct task_started
{
    attempt_name task;
    /// Task address of the endpoint.
    std::string endpoint;
};

struct task_ended
{
    attempt_name task;
    result_code result = result_code::ok;
};

struct job_answered
{
    std::string id;
    result_code code = result_code::ok;
    ran_state ran = ran_state::unknown;
};

/// From this time on, new jobs are admitted under this revision of the
/// configuration.
struct configuration_in_force
{
    std::uint64_t revision = 0;
};

/// The entry learned from the VM list or from a peer that an endpoint is
/// leaving.
struct endpoint_leaving_seen
{
    /// Task address of the endpoint.
    std::string endpoint;
};

/// A graceful stop started: from this time on, calls are refused.
struct admission_closed
{
};

/// The last event of a graceful stop.
struct stopped
{
    /// Calls that had no answer when the graceful stop ended.
    std::uint64_t cut = 0;
};

// Events of endpoints. The source is the task address.

struct run_started
{
    attempt_name task;
    std::string service;
};

struct run_ended
{
    attempt_name task;
};

/// The endpoint refused the attempt, which did not start and never will.
struct run_refused
{
    attempt_name task;
};

// Events of the platform.

/// A new configuration was committed to the platform's table.
struct committed
{
    std::uint64_t revision = 0;
    std::string change_id;
};

/// From this time on, the VM list that the platform serves shows this state.
/// The list lags behind the state of the VM itself.
struct vm_state
{
    std::string address;
    vm_condition state = vm_condition::live;
};

// Events of operators.

/// The response that an operator received for a change.
struct applied
{
    /// The revision that the response names.
    std::uint64_t revision = 0;
    std::string change_id;
    result_code code = result_code::ok;
};

// Events of a test that injects faults.

/// From this time on, the entry is killed, frozen, or isolated from the
/// platform and its peers.
struct entry_cut
{
    /// Source of the entry's history.
    std::string entry;
};

/// The fault of `entry_cut` ended: the entry runs and is reachable.
struct entry_healed
{
    /// Source of the entry's history.
    std::string entry;
};

/// The alternatives have the order of `event_kind`.
using event =
    std::variant<call_sent, call_answered, call_broken, entry_started,
                 job_admitted, job_refused, task_started, task_ended,
                 job_answered, configuration_in_force, endpoint_leaving_seen,
                 admission_closed, stopped, run_started, run_ended, run_refused,
                 committed, vm_state, applied, entry_cut, entry_healed>;

/// The value of the field `event` of a line.
enum class event_kind : std::size_t
{
    call_sent,
    call_answered,
    call_broken,
    entry_started,
    job_admitted,
    job_refused,
    task_started,
    task_ended,
    job_answered,
    configuration_in_force,
    endpoint_leaving_seen,
    admission_closed,
    stopped,
    run_started,
    run_ended,
    run_refused,
    committed,
    vm_state,
    applied,
    entry_cut,
    entry_healed
};

event_kind kind_of(event const& content);
std::string_view name_of(event_kind kind);
std::optional<event_kind> event_kind_of(std::string_view name);

} // namespace masticshift::history

#endif
