#include "status_text.hpp"

#include <boost/json.hpp>

#include <map>
#include <vector>

namespace masticshift::gateway
{

namespace
{

namespace json = boost::json;

json::array dispatcher_rows(gateway_state const& state, time_point now)
{
    json::array rows;
    for (auto const& each : state.roster.dispatchers(now))
        rows.push_back({{"cell", each.claim.cell},
                        {"entry", each.address},
                        {"token", each.claim.token},
                        {"endpoints", each.claim.endpoints},
                        {"free_processor", each.claim.free_processor},
                        {"backlog_ms", each.claim.backlog.count()},
                        {"evacuated", each.claim.evacuated}});
    return rows;
}

using endpoint_list = std::vector<dispatch::endpoint_status>;

json::array endpoint_rows(endpoint_list const& endpoints)
{
    json::array rows;
    for (auto const& each : endpoints)
        rows.push_back({{"endpoint", each.id},
                        {"link", each.link},
                        {"trust", each.trust},
                        {"failures_in_a_row", each.failures},
                        {"last_failure", each.last_failure},
                        {"runs", each.runs},
                        {"free_processor", each.free.processor},
                        {"speed", each.speed}});
    return rows;
}

/// Number of endpoints by the state of their link and by trust.
json::object endpoint_counts(endpoint_list const& endpoints)
{
    std::map<std::string, int> links;
    std::map<std::string, int> trusts;
    for (auto const& each : endpoints)
    {
        ++links[std::string(each.link)];
        ++trusts[std::string(each.trust)];
    }
    return {{"by_link", json::value_from(links)},
            {"by_trust", json::value_from(trusts)}};
}

json::object evacuations(gateway_state const& state, time_point now)
{
    json::array data_centres;
    for (auto const& name : state.evacuations.data_centres())
        data_centres.push_back(
            {{"data_centre", name},
             {"has_endpoints", state.registry.has_endpoints_in(name)}});
    return {{"version", state.evacuations.version()},
            {"read", state.evacuation_reads.is_usable(now)},
            {"data_centres", std::move(data_centres)}};
}

json::object cell_row(cell_runner const& cell, time_point now)
{
    auto const endpoints = cell.dispatcher().status(now);
    return {{"retiring", cell.retiring()},
            {"evacuated", cell.evacuated()},
            {"jobs", cell.dispatcher().jobs()},
            {"runs", cell.dispatcher().runs()},
            {"waiting_tasks", cell.dispatcher().waiting_tasks()},
            {"token", cell.dispatcher().token()},
            {"endpoint_counts", endpoint_counts(endpoints)},
            {"endpoints", endpoint_rows(endpoints)}};
}

} // namespace

std::string status_text(gateway_state const& state, cell_manager const& manager,
                        std::size_t open_jobs, bool store_reachable,
                        time_point now)
{
    json::object cells;
    for (auto const& [name, cell] : manager.cells())
        cells[name] = cell_row(*cell, now);
    json::object text;
    text["entry"] = state.roster.self().address;
    text["incarnation"] = state.roster.self().incarnation;
    text["leaving"] = state.leaving;
    text["configuration"] = state.configuration_version;
    text["evacuations"] = evacuations(state, now);
    text["store_reachable"] = store_reachable;
    text["live_peers"] = state.roster.alive_count(now);
    text["open_jobs"] = open_jobs;
    text["dispatchers"] = dispatcher_rows(state, now);
    text["cells"] = std::move(cells);
    return json::serialize(text);
}

} // namespace masticshift::gateway
