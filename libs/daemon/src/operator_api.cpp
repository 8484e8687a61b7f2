#include "operator_api.hpp"

#include "answer.hpp"
#include "metrics_text.hpp"

#include <boost/json.hpp>

namespace masticshift::daemon
{

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
using transport::http_request;
using transport::http_response;

constexpr unsigned status_unavailable = 503;
constexpr unsigned status_accepted = 202;

http_response make_text(unsigned status, std::string body)
{
    http_response response;
    response.status = status;
    response.fields.set("Content-Type", "text/plain; version=0.0.4");
    response.body = std::move(body);
    return response;
}

http_response make_json(json::value const& body)
{
    http_response response;
    response.fields.set("Content-Type", json_type);
    response.body = json::serialize(body);
    return response;
}

json::array describe(std::vector<placement::service_status> const& services)
{
    json::array rows;
    for (auto const& service : services)
    {
        json::object row;
        row["service"] = service.service;
        row["retired"] = service.retired;
        row["jobs"] = service.jobs;
        row["queued_tasks"] = service.queued_tasks;
        row["running_tasks"] = service.running_tasks;
        row["run_time_ms"] = to_milliseconds(service.run_time);
        rows.push_back(std::move(row));
    }
    return rows;
}

json::array describe(std::vector<placement::endpoint_status> const& endpoints)
{
    json::array rows;
    for (auto const& endpoint : endpoints)
    {
        json::object row;
        row["service"] = endpoint.service;
        row["endpoint"] = endpoint.endpoint;
        row["speed"] = endpoint.speed;
        row["health"] = placement::name_of(endpoint.health);
        row["leaving"] = endpoint.leaving;
        row["running"] = endpoint.running;
        row["owned_slots"] = endpoint.owned_slots;
        row["borrowed_slots"] = endpoint.borrowed_slots;
        row["lent_slots"] = endpoint.lent_slots;
        row["tasks_ok"] = endpoint.tasks_ok;
        row["task_errors"] = endpoint.task_errors;
        row["answers_lost"] = endpoint.answers_lost;
        row["refusals"] = endpoint.refusals;
        row["connect_failures"] = endpoint.connect_failures;
        rows.push_back(std::move(row));
    }
    return rows;
}

json::array describe(std::vector<child_status> const& children)
{
    json::array rows;
    for (auto const& child : children)
    {
        json::object row;
        row["child"] = child.path;
        row["running"] = child.running;
        row["restarts"] = child.restarts;
        rows.push_back(std::move(row));
    }
    return rows;
}

} // namespace

operator_api::operator_api(sources dependencies)
    : sources_(std::move(dependencies))
{
}

asio::awaitable<std::optional<http_response>>
operator_api::handle(http_request request)
{
    co_return route(request);
}

http_response operator_api::route(http_request const& request)
{
    auto const path = transport::path_of(request.target);
    if (path == "/live")
        return make_text(info_of(result_code::ok).http_status, "live\n");
    if (path == "/ready")
    {
        if (sources_.state.ready())
            return make_text(info_of(result_code::ok).http_status, "ready\n");
        return make_text(status_unavailable, "not ready\n");
    }
    if (path == "/status")
        return status();
    if (path == "/metrics")
        return metrics();
    if (path == "/drain" && request.method == "POST")
    {
        sources_.drain();
        return make_text(status_accepted, "draining\n");
    }
    if (path == "/drain")
        return answer_error({result_code::method_not_allowed, "use POST"});
    return answer_error({result_code::path_not_found, std::string(path)});
}

http_response operator_api::status() const
{
    auto const& state = sources_.state;
    auto const engine = state.engine.status(steady_clock::now());
    auto const table = state.table.statistics();
    json::object body;
    body["address"] = state.self.address;
    body["incarnation"] = homes::to_string(state.self);
    body["data_centre"] = state.settings.entry.data_centre;
    body["ready"] = state.ready();
    body["draining"] = state.draining;
    body["revision"] = state.configuration ? state.configuration->revision : 0;
    body["running_jobs"] = sources_.runner.running_jobs();
    body["kept_ids"] = table.ids;
    body["kept_answer_bytes"] = table.answer_bytes;
    body["generations"] = table.generations;
    body["policy"] = engine.policy;
    body["services"] = describe(engine.services);
    body["endpoints"] = describe(engine.endpoints);
    body["peers"] = sources_.peers();
    body["children"] = describe(sources_.root.status());
    return make_json(body);
}

http_response operator_api::metrics() const
{
    metrics_sources const shown{sources_.peer_client.traffic(),
                                sources_.peer_server.traffic(),
                                sources_.runner.running_jobs()};
    auto text = render_metrics(sources_.state, shown, steady_clock::now());
    return make_text(info_of(result_code::ok).http_status, std::move(text));
}

http_response operator_api::answer_error(failure const& error)
{
    http_response response;
    response.status = info_of(error.code).http_status;
    response.fields.set("Content-Type", json_type);
    response.body =
        make_error_answer({}, error.code, ran_state::unknown, error.detail)
            ->body;
    return response;
}

} // namespace masticshift::daemon
