#include "decision_log.hpp"

#include <core/log.hpp>

namespace masticshift::gateway
{

void log_decisions(std::vector<dispatch::decision> const& decisions)
{
    if (!log_enabled(log_level::info))
        return;
    for (auto const& each : decisions)
    {
        boost::json::object fields;
        if (!each.job.empty())
            fields["job"] = each.job;
        if (!each.task.empty())
            fields["task"] = each.task;
        if (!each.endpoint.empty())
            fields["endpoint"] = each.endpoint;
        fields["outcome"] = each.outcome;
        fields["value"] = each.value;
        if (!each.reason.empty())
            fields["reason"] = each.reason;
        if (each.process_started_ms != 0)
            fields["process"] = each.process_started_ms;
        if (each.priority)
            fields["priority"] = *each.priority;
        log_event(log_level::info, each.event, std::move(fields));
    }
}

} // namespace masticshift::gateway
