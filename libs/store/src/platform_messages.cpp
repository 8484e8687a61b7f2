#include "platform_messages.hpp"

#include "json_access.hpp"

#include <boost/json/serialize.hpp>

namespace masticshift::store
{

namespace json = boost::json;

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;

json::object key_object(table_key const& key)
{
    return {{"table", key.table}, {"key", key.key}};
}

json::array to_json(std::vector<version_check> const& checks)
{
    json::array rows;
    for (auto const& check : checks)
    {
        auto row = key_object(check.key);
        row["version"] = check.version;
        rows.push_back(std::move(row));
    }
    return rows;
}

json::array to_json(std::vector<table_write> const& writes)
{
    json::array rows;
    for (auto const& write : writes)
    {
        auto row = key_object(write.key);
        row["value"] = write.value ? json::value(*write.value) : json::value();
        rows.push_back(std::move(row));
    }
    return rows;
}

failure bad_answer(std::string const& detail)
{
    return {result_code::platform_bad_answer, detail};
}

} // namespace

transport::http_request read_request(table_key const& key)
{
    transport::http_request request;
    request.target = "/v1/table/" + transport::percent_encode(key.table) + "/" +
                     transport::percent_encode(key.key);
    return request;
}

outcome<table_entry> parse_table_entry(transport::http_response const& response)
{
    if (response.status == status_not_found)
        return table_entry{};
    if (response.status != status_ok)
        return unexpected_response(response);
    auto const object = parse_object(response.body);
    if (!object)
        return bad_answer("table entry: not a JSON object");
    auto const version = number_at(*object, "version");
    auto const value = string_at(*object, "value");
    if (!version || *version == 0 || !value)
        return bad_answer("table entry: version or value is missing");
    return table_entry{*version, *value};
}

transport::http_request commit_request(transaction const& write)
{
    transport::http_request request;
    request.method = "POST";
    request.target = "/v1/transactions";
    request.fields.set("Content-Type", "application/json");
    request.body = json::serialize(json::object{
        {"checks", to_json(write.checks)}, {"writes", to_json(write.writes)}});
    return request;
}

commit_answer commit_result(transport::http_response const& response)
{
    auto const object = parse_object(response.body);
    if (response.status == status_ok && object &&
        array_at(*object, "versions") != nullptr)
        return {commit_state::committed, {}};
    if (response.status == status_conflict && object &&
        array_at(*object, "conflicts") != nullptr)
        return {commit_state::conflict, {}};
    if (response.status == status_bad_request)
        return {commit_state::not_written, unexpected_response(response)};
    return {commit_state::unknown, unexpected_response(response)};
}

commit_answer commit_result(transport::call_failure const& failed)
{
    auto const state = failed.stage == transport::call_stage::written
                           ? commit_state::unknown
                           : commit_state::not_written;
    return {state, call_error(failed)};
}

failure call_error(transport::call_failure const& failed)
{
    auto const code = failed.stage == transport::call_stage::written
                          ? result_code::platform_timeout
                          : result_code::platform_unavailable;
    return {code, "platform: " + failed.error.detail};
}

failure unexpected_response(transport::http_response const& response)
{
    auto const code = response.status >= 500 ? result_code::platform_unavailable
                                             : result_code::platform_bad_answer;
    return {code, "the platform responded with status " +
                      std::to_string(response.status)};
}

} // namespace masticshift::store
