#ifndef MASTICSHIFT_GATEWAY_GATEWAY_METRICS_HPP
#define MASTICSHIFT_GATEWAY_GATEWAY_METRICS_HPP

#include <dispatch/cell_choice.hpp>
#include <metrics/registry.hpp>

#include <algorithm>
#include <string>

namespace masticshift::gateway
{

/// Counters and histograms of a gateway.
struct gateway_metrics
{
    metrics::registry registry;

    metrics::counter& jobs(dispatch::job_end end)
    {
        return registry.get_counter("masticshift_jobs_total",
                                    "Jobs answered, by how they ended",
                                    {{"end", dispatch::name_of(end)}});
    }

    metrics::latency_histogram& job_seconds = registry.get_histogram(
        "masticshift_job_seconds", "Time from a job's arrival to its answer");
    metrics::counter& rejected_calls = registry.get_counter(
        "masticshift_rejected_calls_total",
        "Calls of callers that were answered without a job");
    /// `outcome`: what was known of the job.
    metrics::counter& cancellations(std::string const& outcome)
    {
        return registry.get_counter("masticshift_cancellations_total",
                                    "Jobs that callers have cancelled",
                                    {{"outcome", outcome}});
    }
    /// Priorities from `last_priority_label` on share a label.
    metrics::counter& cell_choices(dispatch::choice_kind kind, int priority)
    {
        return registry.get_counter("masticshift_cell_choices_total",
                                    "Cells chosen for jobs, by kind and "
                                    "priority",
                                    {{"kind", dispatch::name_of(kind)},
                                     {"priority", priority_label(priority)}});
    }
    metrics::counter& refusals_by_claims(int priority)
    {
        return registry.get_counter(
            "masticshift_refusals_by_claims_total",
            "Jobs refused because no cell could serve them in time",
            {{"priority", priority_label(priority)}});
    }
    metrics::counter& callers_gone = registry.get_counter(
        "masticshift_callers_gone_total",
        "Callers that closed their connection before the answer");
    metrics::counter& starts = registry.get_counter(
        "masticshift_starts_total", "Start orders sent to endpoints");
    metrics::counter& stops = registry.get_counter(
        "masticshift_stops_total", "Stop orders sent to endpoints");
    metrics::counter& lists = registry.get_counter(
        "masticshift_lists_total", "Run lists read from endpoints");
    metrics::counter& identifications = registry.get_counter(
        "masticshift_identifications_total",
        "Run lists read only to find out which process a connection leads to");
    metrics::counter& unanswered =
        registry.get_counter("masticshift_unanswered_orders_total",
                             "Calls to endpoints that got no answer");
    /// `cause`: what became of the connection that it replaces.
    metrics::counter& endpoint_connections(std::string const& cause)
    {
        return registry.get_counter("masticshift_endpoint_connections_total",
                                    "New connections to endpoints",
                                    {{"cause", cause}});
    }
    metrics::counter& failed_connects =
        registry.get_counter("masticshift_endpoint_connect_failures_total",
                             "Attempts to connect to an endpoint that failed");
    metrics::counter& store_calls = registry.get_counter(
        "masticshift_store_calls_total", "Calls to the platform's store");
    metrics::counter& store_failures =
        registry.get_counter("masticshift_store_failures_total",
                             "Calls to the platform's store that failed");
    metrics::counter& relayed_reads = registry.get_counter(
        "masticshift_relayed_reads_total",
        "Reads of the store that a peer has done for this entry");
    /// Set once, when the recovery after the start has ended.
    metrics::gauge& recovery_milliseconds(std::string const& phase)
    {
        return registry.get_gauge("masticshift_recovery_milliseconds",
                                  "Time from the start of the process",
                                  {{"phase", phase}});
    }
    metrics::gauge& live_peers =
        registry.get_gauge("masticshift_live_peers", "Entries heard of lately");
    metrics::gauge& endpoints = registry.get_gauge(
        "masticshift_endpoints", "Endpoints that this entry can place on");
    metrics::gauge& waiting_tasks = registry.get_gauge(
        "masticshift_waiting_tasks", "Tasks that wait for room");
    metrics::gauge& evacuated_data_centres =
        registry.get_gauge("masticshift_evacuated_data_centres",
                           "Data centres in which nothing may be started");
    metrics::gauge& evacuated_cells = registry.get_gauge(
        "masticshift_evacuated_cells",
        "Cells that this entry dispatches and starts nothing in");
    metrics::gauge& evacuations_unread = registry.get_gauge(
        "masticshift_evacuations_unread",
        "1 while starts wait for a read of the evacuated data centres");
    metrics::gauge& runs = registry.get_gauge(
        "masticshift_runs", "Runs that this entry keeps the lease of");

private:
    static constexpr int last_priority_label = 7;

    static std::string priority_label(int priority)
    {
        return std::to_string(std::clamp(priority, 0, last_priority_label));
    }
};

} // namespace masticshift::gateway

#endif
