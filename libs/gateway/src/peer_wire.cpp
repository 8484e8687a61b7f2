#include "peer_wire.hpp"

#include <config/daemon_settings.hpp>
#include <dispatch/token.hpp>

#include <algorithm>

namespace masticshift::gateway
{

namespace
{

/// Bounds of the numbers taken from peers. Products of an amount, a number of
/// tasks and a time stay within 64 bits.
constexpr std::int64_t largest_amount = 100'000'000;
constexpr std::int64_t longest_time_ms = 3'600'000;
constexpr double largest_slack_factor = 1'000;

/// Versions and incarnations are exact as JSON numbers.
constexpr std::int64_t largest_exact = std::int64_t(1) << 53;

constexpr std::int64_t largest_sum = 1'000'000'000'000;

/// Expected waits by priority that are read of a claim.
constexpr std::size_t most_waits = 8;

bool is_in_range(std::int64_t number, std::int64_t least, std::int64_t largest)
{
    return number >= least && number <= largest;
}

bool is_valid(wire::entry_record const& entry)
{
    return is_peer_address(entry.address) && entry.processor >= 0 &&
           is_in_range(entry.incarnation, 1, largest_exact);
}

failure refused(std::string detail)
{
    return {result_code::peer_protocol, std::move(detail)};
}

/// A token out of range counts as unknown. The message is used otherwise:
/// entries that refused each other's heartbeats would never agree on who
/// dispatches a cell.
std::int64_t token_from_wire(std::int64_t token)
{
    return is_in_range(token, 0, dispatch::largest_token) ? token : 0;
}

milliseconds time_from_wire(std::int64_t ms)
{
    return milliseconds(std::clamp<std::int64_t>(ms, 0, longest_time_ms));
}

milliseconds clock_from_wire(std::int64_t ms)
{
    return milliseconds(std::clamp<std::int64_t>(ms, 0, largest_exact));
}

wire::dispatch_step to_wire(dispatch::job_step const& step)
{
    wire::dispatch_step converted;
    converted.task_count = step.task_count;
    converted.processor = step.need.processor;
    converted.memory_mb = step.need.memory_mb;
    converted.accelerators = step.need.accelerators;
    converted.estimate_ms = step.estimate.count();
    converted.required_label = step.required_label;
    converted.preferred_rack = step.preferred_rack;
    converted.max_per_endpoint = step.max_per_endpoint;
    converted.after.assign(step.after.begin(), step.after.end());
    return converted;
}

bool is_valid(wire::dispatch_step const& step, std::size_t number)
{
    constexpr std::int32_t most_tasks = 4'096;
    if (step.task_count < 1 || step.task_count > most_tasks)
        return false;
    for (auto const amount :
         {step.processor, step.memory_mb, step.accelerators})
    {
        if (amount < 0 || amount > largest_amount)
            return false;
    }
    if (step.estimate_ms < 0 || step.estimate_ms > longest_time_ms)
        return false;
    for (auto const earlier : step.after)
    {
        if (earlier < 0 || static_cast<std::size_t>(earlier) >= number)
            return false;
    }
    return true;
}

dispatch::job_step from_wire(wire::dispatch_step const& step)
{
    dispatch::job_step converted;
    converted.task_count = step.task_count;
    converted.need = {step.processor, step.memory_mb, step.accelerators};
    converted.estimate = milliseconds(step.estimate_ms);
    converted.required_label = step.required_label;
    converted.preferred_rack = step.preferred_rack;
    converted.max_per_endpoint = step.max_per_endpoint;
    converted.after.assign(step.after.begin(), step.after.end());
    return converted;
}

wire::dispatch_claim to_wire(dispatch::dispatch_claim const& claim)
{
    wire::dispatch_claim converted;
    converted.cell = claim.cell;
    converted.token = claim.token;
    converted.endpoints = claim.endpoints;
    converted.free_processor = claim.free_processor;
    converted.retiring = claim.retiring;
    converted.backlog_ms = claim.backlog.count();
    for (auto const& wait : claim.waits)
        converted.waits_ms.push_back(wait.count());
    converted.largest_free_processor = claim.largest_free_processor;
    converted.evacuated = claim.evacuated;
    return converted;
}

dispatch::dispatch_claim from_wire(wire::dispatch_claim const& claim)
{
    dispatch::dispatch_claim converted{
        claim.cell,
        token_from_wire(claim.token),
        std::clamp<std::int64_t>(claim.endpoints, 0, largest_amount),
        std::clamp<std::int64_t>(claim.free_processor, 0, largest_sum),
        time_from_wire(claim.backlog_ms),
        claim.retiring};
    for (auto const wait : claim.waits_ms)
    {
        if (converted.waits.size() == most_waits)
            break;
        converted.waits.push_back(time_from_wire(wait));
    }
    converted.largest_free_processor =
        std::clamp<std::int64_t>(claim.largest_free_processor, 0, largest_sum);
    converted.evacuated = claim.evacuated;
    return converted;
}

} // namespace

bool is_peer_address(std::string const& address)
{
    auto const parsed = config::parse_socket_address(address);
    return parsed && parsed->port != 0 && config::to_string(*parsed) == address;
}

wire::entry_record to_wire(dispatch::entry_identity const& entry)
{
    wire::entry_record converted;
    converted.address = entry.address;
    converted.incarnation = entry.incarnation;
    converted.data_centre = entry.data_centre;
    converted.processor = entry.processor;
    return converted;
}

dispatch::entry_identity from_wire(wire::entry_record const& entry)
{
    return {entry.address, entry.incarnation, entry.data_centre,
            entry.processor};
}

wire::pulse to_wire(dispatch::entry_heartbeat const& heartbeat)
{
    wire::pulse converted;
    converted.sender = to_wire(heartbeat.sender);
    converted.leaving = heartbeat.leaving;
    for (auto const& claim : heartbeat.claims)
        converted.claims.push_back(to_wire(claim));
    converted.configuration_version = heartbeat.configuration_version;
    converted.highest_token = heartbeat.highest_token;
    for (auto const& entry : heartbeat.known)
        converted.known.push_back(to_wire(entry));
    converted.is_periodic = heartbeat.is_periodic;
    converted.wants_claims = heartbeat.wants_claims;
    converted.clock_ms = heartbeat.clock.count();
    if (heartbeat.last_reading)
        converted.__set_last_reading(to_wire(*heartbeat.last_reading));
    converted.evacuations_version = heartbeat.evacuations_version;
    for (auto const& each : heartbeat.withdrawals)
    {
        wire::withdrawn_job row;
        row.id = each.job;
        row.cell = each.cell;
        row.submission = each.submission;
        converted.withdrawals.push_back(std::move(row));
    }
    for (auto const& each : heartbeat.relayed)
    {
        wire::relayed_claim row;
        row.holder = to_wire(each.holder);
        row.claim = to_wire(each.claim);
        row.age_ms = each.age.count();
        converted.relayed.push_back(std::move(row));
    }
    return converted;
}

dispatch::entry_heartbeat from_wire(wire::pulse const& pulse)
{
    dispatch::entry_heartbeat converted;
    converted.sender = from_wire(pulse.sender);
    converted.leaving = pulse.leaving;
    for (auto const& row : pulse.claims)
        converted.claims.push_back(from_wire(row));
    converted.configuration_version = pulse.configuration_version;
    converted.highest_token = token_from_wire(pulse.highest_token);
    for (auto const& entry : pulse.known)
        converted.known.push_back(from_wire(entry));
    converted.is_periodic = pulse.is_periodic;
    converted.wants_claims = pulse.wants_claims;
    converted.clock = clock_from_wire(pulse.clock_ms);
    if (pulse.__isset.last_reading)
        converted.last_reading = from_wire(pulse.last_reading);
    converted.evacuations_version = pulse.evacuations_version;
    for (auto const& row : pulse.withdrawals)
        converted.withdrawals.push_back({row.id, row.cell, row.submission});
    for (auto const& row : pulse.relayed)
        converted.relayed.push_back({from_wire(row.holder),
                                     from_wire(row.claim),
                                     time_from_wire(row.age_ms)});
    return converted;
}

outcome<dispatch::entry_identity> decode_entry(wire::entry_record const& entry)
{
    if (!is_valid(entry))
        return refused("an entry without a valid address, incarnation or "
                       "processor");
    return from_wire(entry);
}

outcome<dispatch::entry_heartbeat> decode_heartbeat(wire::pulse const& pulse)
{
    if (!is_valid(pulse.sender))
        return refused("a heartbeat without a valid sender");
    bool const in_range =
        is_in_range(pulse.configuration_version, 0, largest_exact) &&
        is_in_range(pulse.evacuations_version, 0, largest_exact);
    if (!in_range)
        return refused("a heartbeat with a version out of range");
    auto valid = pulse;
    std::erase_if(valid.known,
                  [](auto const& entry)
                  {
                      return !is_valid(entry);
                  });
    std::erase_if(valid.relayed,
                  [](auto const& row)
                  {
                      return !is_valid(row.holder);
                  });
    return from_wire(valid);
}

outcome<evacuations_read>
decode_evacuations(wire::fetch_evacuations_reply const& reply)
{
    if (!is_in_range(reply.version, 0, largest_exact))
        return refused("evacuated data centres with a version out of range");
    evacuations_read converted;
    converted.version = reply.version;
    for (auto const& name : reply.data_centres)
    {
        if (!name.empty())
            converted.rows.push_back({name, reply.version});
    }
    return converted;
}

wire::clock_reading to_wire(dispatch::clock_reading const& reading)
{
    wire::clock_reading converted;
    converted.incarnation = reading.incarnation;
    converted.clock_ms = reading.time.count();
    return converted;
}

dispatch::clock_reading from_wire(wire::clock_reading const& reading)
{
    return {reading.incarnation, clock_from_wire(reading.clock_ms)};
}

wire::dispatch_job to_wire(dispatch::job_spec const& job,
                           dispatch::entry_identity const& origin)
{
    wire::dispatch_job converted;
    converted.id = job.id;
    converted.payload = job.payload;
    for (auto const& step : job.steps)
        converted.steps.push_back(to_wire(step));
    converted.queue = job.queue;
    converted.service_name = job.service;
    converted.priority = job.priority;
    converted.max_attempts = job.max_attempts;
    converted.slack_factor = job.slack_factor;
    converted.target_latency_ms = job.target_latency.count();
    converted.patience_ms = job.caller_timeout.count();
    converted.origin = to_wire(origin);
    converted.only_if_idle = job.only_if_idle;
    converted.age_ms = job.age.count();
    converted.submission = job.submission;
    return converted;
}

outcome<dispatch::job_spec> from_wire(wire::dispatch_job job)
{
    dispatch::job_spec converted;
    converted.id = std::move(job.id);
    converted.payload = std::move(job.payload);
    for (auto const& step : job.steps)
    {
        if (!is_valid(step, converted.steps.size()))
            return failure{result_code::malformed_request,
                           "a job step has a number out of range or depends on "
                           "a later step"};
        converted.steps.push_back(from_wire(step));
    }
    if (converted.steps.empty() || converted.id.empty())
        return failure{result_code::malformed_request,
                       "the job has no steps or no id"};
    if (!(job.slack_factor >= 0 && job.slack_factor <= largest_slack_factor))
        return failure{result_code::malformed_request,
                       "the job's slack factor is out of range"};
    converted.queue = std::move(job.queue);
    converted.service = std::move(job.service_name);
    converted.priority = job.priority;
    converted.max_attempts = job.max_attempts;
    converted.slack_factor = job.slack_factor;
    converted.target_latency = time_from_wire(job.target_latency_ms);
    converted.caller_timeout = time_from_wire(job.patience_ms);
    converted.only_if_idle = job.only_if_idle;
    converted.age = time_from_wire(job.age_ms);
    converted.submission = job.submission;
    return converted;
}

wire::dispatch_reply to_wire(dispatch::job_result const& result)
{
    wire::dispatch_reply converted;
    converted.outcome = static_cast<std::int32_t>(result.end);
    converted.reason = static_cast<std::int32_t>(result.reason);
    converted.retry_after_ms = result.retry_after.count();
    return converted;
}

dispatch::job_result from_wire(wire::dispatch_reply const& reply)
{
    dispatch::job_result converted;
    constexpr auto last_end =
        static_cast<std::int32_t>(dispatch::job_end::cancelled);
    constexpr auto last_reason =
        static_cast<std::int32_t>(dispatch::end_reason::displaced);
    if (reply.outcome >= 0 && reply.outcome <= last_end)
        converted.end = static_cast<dispatch::job_end>(reply.outcome);
    if (reply.reason >= 0 && reply.reason <= last_reason)
        converted.reason = static_cast<dispatch::end_reason>(reply.reason);
    converted.retry_after = time_from_wire(reply.retry_after_ms);
    return converted;
}

std::string origin_name(dispatch::entry_identity const& entry)
{
    return entry.address + "/" + std::to_string(entry.incarnation);
}

} // namespace masticshift::gateway
