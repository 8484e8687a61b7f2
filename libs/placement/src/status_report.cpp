#include "status_report.hpp"

#include "seconds.hpp"

namespace masticshift::placement
{

namespace
{

void count_slots(endpoint_state const& endpoint, endpoint_status& row)
{
    for (auto const& slot : endpoint.slots)
    {
        row.owned_slots += slot.owned ? 1 : 0;
        row.borrowed_slots += slot.borrowed ? 1 : 0;
        row.lent_slots += slot.lent ? 1 : 0;
    }
}

endpoint_status report_member(service_state const& service,
                              member_state const& member, time_point now)
{
    auto const& counts = member.health.counts();
    endpoint_status row;
    row.service = service.config.name;
    row.endpoint = member.endpoint->config.name;
    row.speed = member.speed.value();
    row.health = member.health.state(now);
    row.leaving = member.endpoint->leaving;
    row.running = member.running;
    count_slots(*member.endpoint, row);
    row.tasks_ok = counts.ok;
    row.task_errors = counts.task_errors;
    row.answers_lost = counts.answers_lost;
    row.refusals = counts.refusals;
    row.connect_failures = counts.connect_failures;
    return row;
}

service_status report_service(service_state const& service)
{
    service_status row;
    row.service = service.config.name;
    row.retired = service.retired;
    row.jobs = service.jobs;
    row.queued_tasks = service.queued_tasks;
    row.running_tasks = service.running_tasks;
    row.run_time = from_seconds(service.model.predict(0));
    row.size_trust = service.model.size_trust();
    return row;
}

} // namespace

engine_status report_status(fleet const& all, std::string_view policy,
                            time_point now)
{
    engine_status result;
    result.policy = policy;
    for (auto const& service : all.services())
    {
        result.services.push_back(report_service(*service));
        for (auto const& member : service->members)
            result.endpoints.push_back(report_member(*service, member, now));
    }
    return result;
}

} // namespace masticshift::placement
