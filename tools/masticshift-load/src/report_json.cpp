#include "report_json.hpp"

#include <boost/json.hpp>

namespace masticshift::load
{

namespace
{

namespace json = boost::json;

json::object load_of(scenario const& plan)
{
    return {{"seed", plan.seed},
            {"service", plan.service},
            {"kind", history::name_of(plan.kind)},
            {"tasks_per_job", plan.tasks_per_job},
            {"jobs_per_s", plan.jobs_per_s},
            {"run_for_ms", plan.run_for.count()},
            {"warm_up_ms", plan.warm_up.count()},
            {"mean_run_ms", plan.run_time.mean_ms},
            {"fastest_speed", plan.fastest_speed}};
}

json::object jobs_of(load_results const& results)
{
    json::object ends;
    for (auto const& [name, count] : results.ends)
        ends[name] = count;
    return {{"all", results.jobs},
            {"tasks_ok", results.tasks_ok},
            {"resubmissions", results.resubmissions},
            {"cancellations", results.cancellations},
            {"unanswered", results.unanswered},
            {"measured_by_end", std::move(ends)}};
}

json::array entries_of(load_results const& results)
{
    json::array rows;
    for (auto const& entry : results.entries)
        rows.push_back({{"address", entry.address},
                        {"due", entry.due},
                        {"ok", entry.ok},
                        {"response_ms", to_json(entry.response_ms)}});
    return rows;
}

json::array seconds_of(load_results const& results)
{
    json::array rows;
    for (auto const& row : results.seconds)
    {
        auto const mean =
            row.ok == 0 ? 0 : row.slowdown_sum / static_cast<double>(row.ok);
        rows.push_back({{"due", row.due},
                        {"ok", row.ok},
                        {"mean_slowdown", mean},
                        {"max_slowdown", row.slowdown_max}});
    }
    return rows;
}

json::object messages_of(load_results const& results)
{
    json::object by_kind;
    for (auto const& [kind, count] : results.messages.by_kind)
        by_kind[kind] = count;
    double const ideal = ideal_messages(results.jobs, results.tasks_ok);
    double const extra = results.messages.total() - ideal;
    json::object messages{
        {"by_kind", std::move(by_kind)},
        {"total", results.messages.total()},
        {"ideal", ideal},
        {"entries_without_metrics", results.entries_without_metrics}};
    // The difference is meaningful only if the counts of all entries are known.
    bool const is_known = results.entries_without_metrics == 0 &&
                          !results.messages.by_kind.empty();
    if (is_known && results.tasks_ok > 0)
        messages["extra_per_task"] =
            extra / static_cast<double>(results.tasks_ok);
    if (is_known && results.jobs > 0)
        messages["extra_per_job"] = extra / static_cast<double>(results.jobs);
    return messages;
}

} // namespace

json::object to_json(load_results const& results)
{
    return {{"load", load_of(results.plan)},
            {"jobs", jobs_of(results)},
            {"response_ms", to_json(results.response_ms)},
            {"slowdown", to_json(results.slowdown)},
            {"added_ms", to_json(results.added_ms)},
            {"send_lag_ms", to_json(results.send_lag_ms)},
            {"messages", messages_of(results)},
            {"entries", entries_of(results)},
            {"seconds", seconds_of(results)}};
}

} // namespace masticshift::load
