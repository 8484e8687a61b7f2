#include "platform_service.hpp"

#include "transaction_body.hpp"

#include <store/configuration_store.hpp>

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <utility>

namespace platform_standin
{

namespace asio = boost::asio;
namespace json = boost::json;
using masticshift::failure;
using masticshift::milliseconds;
using masticshift::steady_clock;
using masticshift::time_point;
using transport::http_request;
using transport::http_response;

namespace
{

constexpr std::string_view table_prefix = "/v1/table/";
constexpr std::string_view object_prefix = "/v1/objects/";
constexpr milliseconds hang_check_interval{20};

http_response status_only(unsigned status)
{
    http_response response;
    response.status = status;
    return response;
}

http_response json_response(unsigned status, json::object const& body)
{
    auto response = status_only(status);
    response.fields.set("Content-Type", "application/json");
    response.body = json::serialize(body);
    return response;
}

http_response error_response(failure const& error)
{
    return json_response(400, {{"detail", error.detail}});
}

std::int64_t wall_microseconds(milliseconds ago)
{
    auto const then = std::chrono::system_clock::now() - ago;
    return std::chrono::duration_cast<std::chrono::microseconds>(
               then.time_since_epoch())
        .count();
}

bool is_write(http_request const& request)
{
    auto const path = transport::path_of(request.target);
    return (request.method == "POST" && path == "/v1/transactions") ||
           (request.method == "PUT" && path.starts_with(object_prefix));
}

/// The configuration record that a transaction writes, if any.
std::optional<masticshift::store::configuration_record>
configuration_in(masticshift::store::transaction const& done)
{
    for (auto const& write : done.writes)
    {
        if (write.key == masticshift::store::configuration_key() && write.value)
        {
            auto record = masticshift::store::parse_record(*write.value);
            if (record)
                return *std::move(record);
        }
    }
    return std::nullopt;
}

asio::awaitable<void> pause(milliseconds length)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, length);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

platform_service::platform_service(history_file& history) : history_(history)
{
}

asio::awaitable<std::optional<http_response>>
platform_service::handle(http_request request)
{
    if (transport::path_of(request.target) == "/control")
    {
        auto response = change_control(request.body, steady_clock::now());
        // Readers see the new VM list only after the lag.
        if (control_.vm_lag > milliseconds::zero())
            asio::co_spawn(co_await asio::this_coro::executor,
                           record_visible_vms_after(control_.vm_lag),
                           asio::detached);
        co_return response;
    }
    if (control_.hang)
    {
        while (control_.hang)
            co_await pause(hang_check_interval);
        co_return std::nullopt;
    }
    if (!control_.available)
        co_return status_only(503);
    auto response = is_write(request)
                        ? handle_write(request)
                        : handle_read(request, steady_clock::now());
    if (control_.delay > milliseconds::zero())
        co_await pause(control_.delay);
    co_return response;
}

http_response platform_service::change_control(std::string const& body,
                                               time_point now)
{
    auto change = parse_control(body, control_);
    if (!change)
        return error_response(change.error());
    control_ = change->control;
    if (change->vms)
        vms_.set(std::move(*change->vms), now);
    record_visible_vms(now);
    return json_response(200, {});
}

void platform_service::record_visible_vms(time_point now)
{
    for (auto const& row : vms_.visible(now, control_.vm_lag))
    {
        json::object const& vm = row.as_object();
        std::string const address(vm.at("address").as_string());
        std::string const state(vm.at("state").as_string());
        auto& recorded = recorded_vms_[address];
        if (recorded == state)
            continue;
        recorded = state;
        history_.write("vm_state", {{"address", address}, {"state", state}});
    }
}

asio::awaitable<void>
platform_service::record_visible_vms_after(milliseconds lag)
{
    co_await pause(lag);
    record_visible_vms(steady_clock::now());
}

std::optional<http_response>
platform_service::handle_read(http_request const& request, time_point now)
{
    auto const path = transport::path_of(request.target);
    if (request.method != "GET")
        return status_only(405);
    if (path == "/v1/vms")
        return read_vms(now);
    if (path.starts_with(table_prefix))
        return read_entry(path.substr(table_prefix.size()));
    if (path.starts_with(object_prefix))
        return read_object(path.substr(object_prefix.size()));
    return status_only(404);
}

std::optional<http_response>
platform_service::handle_write(http_request const& request)
{
    if (control_.lose_requests > 0)
    {
        --control_.lose_requests;
        history_.write("request_lost", {{"target", request.target}});
        return std::nullopt;
    }
    auto response =
        request.method == "PUT" ? put_object(request) : commit(request);
    if (control_.lose_answers > 0)
    {
        --control_.lose_answers;
        history_.write("answer_lost", {{"target", request.target},
                                       {"status", response.status}});
        return std::nullopt;
    }
    return response;
}

http_response platform_service::read_entry(std::string_view path) const
{
    auto const slash = path.find('/');
    if (slash == std::string_view::npos)
        return status_only(404);
    auto const entry =
        tables_.read({transport::percent_decode(path.substr(0, slash)),
                      transport::percent_decode(path.substr(slash + 1))});
    if (!entry)
        return status_only(404);
    return json_response(
        200, {{"version", entry->version}, {"value", entry->value}});
}

http_response platform_service::read_object(std::string_view path) const
{
    auto const found = objects_.find(transport::percent_decode(path));
    if (found == objects_.end())
        return status_only(404);
    auto response = status_only(200);
    response.body = found->second;
    return response;
}

http_response platform_service::read_vms(time_point now) const
{
    return json_response(200, {{"as_of_us", wall_microseconds(control_.vm_lag)},
                               {"vms", vms_.visible(now, control_.vm_lag)}});
}

http_response platform_service::commit(http_request const& request)
{
    auto const parsed = parse_transaction(request.body);
    if (!parsed)
        return error_response(parsed.error());
    auto const result = tables_.commit(*parsed);
    if (!result.conflicts.empty())
    {
        return json_response(409,
                             {{"conflicts", conflict_rows(result.conflicts)}});
    }
    record_commit(*parsed, result.versions);
    return json_response(200,
                         {{"versions", json::value_from(result.versions)}});
}

void platform_service::record_commit(
    masticshift::store::transaction const& done,
    std::vector<std::uint64_t> const& versions)
{
    json::object fields{{"writes", write_rows(done, versions)}};
    auto const record = configuration_in(done);
    if (!record)
    {
        history_.write("written", std::move(fields));
        return;
    }
    fields["revision"] = record->revision;
    fields["change_id"] =
        record->changes.empty() ? "" : record->changes.back().change_id;
    history_.write("committed", std::move(fields));
}

http_response platform_service::put_object(http_request const& request)
{
    auto const path = transport::path_of(request.target);
    auto const name =
        transport::percent_decode(path.substr(object_prefix.size()));
    objects_[name] = request.body;
    history_.write("object_put",
                   {{"name", name}, {"bytes", request.body.size()}});
    return json_response(200, {});
}

} // namespace platform_standin
