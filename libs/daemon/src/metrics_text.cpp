#include "metrics_text.hpp"

namespace masticshift::daemon
{

namespace
{

using metrics::registry;

void set_messages(registry& all, std::string_view kind, std::uint64_t total)
{
    metrics::labels const labels{{"kind", std::string(kind)}};
    all.get_counter("masticshift_messages_total",
                    "Messages sent, by kind; answers count as messages", labels)
        .set_total(total);
}

void set_jobs(registry& all, std::string_view end, std::uint64_t total)
{
    metrics::labels const labels{{"end", std::string(end)}};
    all.get_counter("masticshift_jobs_total", "Jobs and requests, by end",
                    labels)
        .set_total(total);
}

void set_gauge(registry& all, std::string_view name, std::string_view help,
               double value)
{
    all.get_gauge(name, help).set(value);
}

void fill_own_messages(registry& all, entry_metrics const& counts)
{
    set_messages(all, "caller_call", counts.caller_calls);
    set_messages(all, "caller_answer", counts.caller_answers);
    set_messages(all, "task_call", counts.task_calls);
    set_messages(all, "task_answer", counts.task_answers);
    set_messages(all, "cancellation", counts.cancellations);
    set_messages(all, "answer_query", counts.answer_queries);
    set_messages(all, "platform_call", counts.platform_calls);
}

// Each message is counted by its sender: calls by the client, responses by the
// server.
void fill_peer_traffic(registry& all, metrics_sources const& sources)
{
    std::uint64_t bytes = 0;
    for (std::size_t i = 0; i < peer_link::message_kind_count; ++i)
    {
        auto const kind = static_cast<peer_link::message_kind>(i);
        auto const& called = sources.client.sent[kind];
        auto const& answered = sources.server.sent[kind];
        set_messages(all, peer_link::name_of(kind),
                     called.messages + answered.messages);
        bytes += called.bytes + answered.bytes;
    }
    all.get_counter("masticshift_peer_sent_bytes_total",
                    "Bytes of frames sent to peers")
        .set_total(bytes);
}

void fill_jobs(registry& all, entry_metrics const& counts)
{
    set_jobs(all, "ok", counts.jobs_ok);
    set_jobs(all, "failed", counts.jobs_failed);
    set_jobs(all, "refused", counts.jobs_refused);
    all.get_counter("masticshift_resubmissions_total",
                    "Calls that met an id that was taken before")
        .set_total(counts.resubmissions);
    all.get_counter("masticshift_requests_retried_total",
                    "Idempotent requests that were sent again")
        .set_total(counts.requests_retried);
    all.get_counter("masticshift_tasks_placed_anew_total",
                    "Tasks that certainly did not start and went elsewhere")
        .set_total(counts.tasks_requeued);
}

void fill_state(registry& all, entry_state const& state,
                metrics_sources const& sources, time_point now)
{
    auto const table = state.table.statistics();
    auto const& text = state.configuration;
    set_gauge(all, "masticshift_ready", "1 while the entry takes work",
              state.ready() ? 1 : 0);
    set_gauge(all, "masticshift_configuration_revision", "Revision in force",
              text ? double(text->revision) : 0);
    set_gauge(all, "masticshift_running_jobs", "Jobs without an answer yet",
              double(sources.running_jobs));
    set_gauge(all, "masticshift_kept_ids", "Ids in the submission table",
              double(table.ids));
    set_gauge(all, "masticshift_kept_answer_bytes", "Bytes of kept answers",
              double(table.answer_bytes));
    for (auto const& load : state.engine.load(now))
    {
        metrics::labels const labels{{"service", load.service}};
        all.get_gauge("masticshift_queued_tasks", "Tasks without a slot",
                      labels)
            .set(load.queued_tasks);
        all.get_gauge("masticshift_idle_slots", "Own slots without a task",
                      labels)
            .set(load.idle_slots);
    }
}

} // namespace

std::string render_metrics(entry_state& state, metrics_sources const& sources,
                           time_point now)
{
    auto& all = state.metrics.registry;
    fill_own_messages(all, state.metrics);
    fill_peer_traffic(all, sources);
    fill_jobs(all, state.metrics);
    fill_state(all, state, sources, now);
    return all.render();
}

} // namespace masticshift::daemon
