#include "peer_wire.hpp"

#include <algorithm>

namespace masticshift::gateway
{

namespace
{

wire::dispatch_step to_wire(dispatch::job_step const& step)
{
    wire::dispatch_step made;
    made.task_count = step.task_count;
    made.processor = step.need.processor;
    made.memory_mb = step.need.memory_mb;
    made.accelerators = step.need.accelerators;
    made.estimate_ms = step.estimate.count();
    made.required_label = step.required_label;
    made.preferred_rack = step.preferred_rack;
    made.max_per_endpoint = step.max_per_endpoint;
    made.after.assign(step.after.begin(), step.after.end());
    return made;
}

bool is_valid(wire::dispatch_step const& step, std::size_t number)
{
    constexpr std::int32_t most_tasks = 4'096;
    if (step.task_count < 1 || step.task_count > most_tasks)
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
    dispatch::job_step made;
    made.task_count = step.task_count;
    made.need = {step.processor, step.memory_mb, step.accelerators};
    made.estimate = milliseconds(step.estimate_ms);
    made.required_label = step.required_label;
    made.preferred_rack = step.preferred_rack;
    made.max_per_endpoint = step.max_per_endpoint;
    made.after.assign(step.after.begin(), step.after.end());
    return made;
}

} // namespace

wire::entry_record to_wire(dispatch::entry_identity const& entry)
{
    wire::entry_record made;
    made.address = entry.address;
    made.incarnation = entry.incarnation;
    made.data_centre = entry.data_centre;
    made.processor = entry.processor;
    return made;
}

dispatch::entry_identity from_wire(wire::entry_record const& entry)
{
    return {entry.address, entry.incarnation, entry.data_centre,
            entry.processor};
}

wire::pulse to_wire(dispatch::entry_heartbeat const& sign)
{
    wire::pulse made;
    made.sender = to_wire(sign.sender);
    made.leaving = sign.leaving;
    for (auto const& claim : sign.claims)
    {
        wire::dispatch_claim row;
        row.cell = claim.cell;
        row.token = claim.token;
        row.endpoints = claim.endpoints;
        row.free_processor = claim.free_processor;
        row.retiring = claim.retiring;
        row.backlog_ms = claim.backlog.count();
        made.claims.push_back(std::move(row));
    }
    made.configuration_version = sign.configuration_version;
    made.highest_token = sign.highest_token;
    for (auto const& entry : sign.known)
        made.known.push_back(to_wire(entry));
    return made;
}

dispatch::entry_heartbeat from_wire(wire::pulse const& pulse)
{
    dispatch::entry_heartbeat made;
    made.sender = from_wire(pulse.sender);
    made.leaving = pulse.leaving;
    for (auto const& row : pulse.claims)
        made.claims.push_back({row.cell, row.token, row.endpoints,
                               row.free_processor, milliseconds(row.backlog_ms),
                               row.retiring});
    made.configuration_version = pulse.configuration_version;
    made.highest_token = pulse.highest_token;
    for (auto const& entry : pulse.known)
        made.known.push_back(from_wire(entry));
    return made;
}

wire::dispatch_job to_wire(dispatch::job_spec const& job,
                           dispatch::entry_identity const& origin)
{
    wire::dispatch_job made;
    made.id = job.id;
    made.payload = job.payload;
    for (auto const& step : job.steps)
        made.steps.push_back(to_wire(step));
    made.queue = job.queue;
    made.service_name = job.service;
    made.priority = job.priority;
    made.max_attempts = job.max_attempts;
    made.slack_factor = job.slack_factor;
    made.target_latency_ms = job.target_latency.count();
    made.patience_ms = job.caller_timeout.count();
    made.origin = to_wire(origin);
    made.only_if_idle = job.only_if_idle;
    made.age_ms = job.age.count();
    return made;
}

outcome<dispatch::job_spec> from_wire(wire::dispatch_job job)
{
    dispatch::job_spec made;
    made.id = std::move(job.id);
    made.payload = std::move(job.payload);
    for (auto const& step : job.steps)
    {
        if (!is_valid(step, made.steps.size()))
            return failure{result_code::malformed_request,
                           "a step that can't be"};
        made.steps.push_back(from_wire(step));
    }
    if (made.steps.empty() || made.id.empty())
        return failure{result_code::malformed_request, "no step or no id"};
    made.queue = std::move(job.queue);
    made.service = std::move(job.service_name);
    made.priority = job.priority;
    made.max_attempts = job.max_attempts;
    made.slack_factor = job.slack_factor;
    made.target_latency = milliseconds(job.target_latency_ms);
    made.caller_timeout = milliseconds(job.patience_ms);
    made.only_if_idle = job.only_if_idle;
    made.age = milliseconds(std::max<std::int64_t>(job.age_ms, 0));
    return made;
}

wire::dispatch_reply to_wire(dispatch::job_result const& result)
{
    wire::dispatch_reply made;
    made.outcome = static_cast<std::int32_t>(result.end);
    made.reason = static_cast<std::int32_t>(result.reason);
    made.retry_after_ms = result.retry_after.count();
    return made;
}

dispatch::job_result from_wire(wire::dispatch_reply const& reply)
{
    dispatch::job_result made;
    constexpr auto last_end =
        static_cast<std::int32_t>(dispatch::job_end::unknown);
    constexpr auto last_reason =
        static_cast<std::int32_t>(dispatch::end_reason::busy_cell);
    if (reply.outcome >= 0 && reply.outcome <= last_end)
        made.end = static_cast<dispatch::job_end>(reply.outcome);
    if (reply.reason >= 0 && reply.reason <= last_reason)
        made.reason = static_cast<dispatch::end_reason>(reply.reason);
    made.retry_after = milliseconds(reply.retry_after_ms);
    return made;
}

std::string origin_name(dispatch::entry_identity const& entry)
{
    return entry.address + "/" + std::to_string(entry.incarnation);
}

} // namespace masticshift::gateway
