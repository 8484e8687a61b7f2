#include "standin_store.hpp"

#include <openssl/evp.h>

#include <algorithm>
#include <chrono>

namespace masticshift::test_support
{

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_gone = 410;
constexpr unsigned status_unavailable = 503;

/// How long a call without a response stays open. Callers wait less.
constexpr milliseconds unanswered_time{1'000};

/// How often a store that must not respond checks whether the fault has ended.
constexpr milliseconds fault_poll_interval{300};

std::string encode_base64(std::string const& bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    auto const size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<unsigned char const*>(bytes.data()),
                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::int64_t steady_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               steady_clock::now().time_since_epoch())
        .count();
}

} // namespace

standin_store::standin_store(asio::any_io_executor executor,
                             std::shared_ptr<platform_faults> faults)
    : executor_(std::move(executor)), faults_(std::move(faults))
{
}

outcome<void> standin_store::listen(std::uint16_t port)
{
    server_ = std::make_unique<transport::http_server>(
        executor_, transport::http_server_limits{},
        [self = weak_from_this()](transport::http_request request)
        {
            return handle(self.lock(), std::move(request));
        },
        make_error_response);
    return server_->listen("127.0.0.1", port);
}

std::uint16_t standin_store::port() const
{
    return server_->port();
}

void standin_store::write(std::string const& table, std::string const& key,
                          std::string value)
{
    rows_.begin();
    rows_.put(table, key, std::move(value));
}

void standin_store::remove(std::string const& table, std::string const& key)
{
    rows_.begin();
    rows_.remove(table, key);
}

asio::awaitable<standin_response>
standin_store::handle(std::shared_ptr<standin_store> self,
                      transport::http_request request)
{
    while (self->faults_->store_silent)
    {
        self->unavailable_at_ = steady_clock::now();
        co_await wait_for(fault_poll_interval);
    }
    if (self->faults_->store_delay.count() > 0)
        co_await wait_for(self->faults_->store_delay);
    if (self->faults_->store_down)
    {
        self->unavailable_at_ = steady_clock::now();
        co_return make_response(status_unavailable, {});
    }
    auto const path = transport::path_of(request.target);
    if (path == "/rows-tx")
        co_return self->commit(request.body);
    auto const table = transport::query_parameter(request.target, "table");
    if (path == "/rows-get")
    {
        auto& unanswered = self->faults_->unanswered_table_reads;
        if (table == "servers" && unanswered > 0)
        {
            --unanswered;
            co_await wait_for(unanswered_time);
            co_return std::nullopt;
        }
        auto const from = transport::query_parameter(request.target, "from");
        co_return self->rows_response(table, self->rows_.read(table, from),
                                      self->rows_.version());
    }
    co_return co_await watch(self, table, request.target);
}

asio::awaitable<standin_response>
standin_store::watch(std::shared_ptr<standin_store> self, std::string table,
                     std::string target)
{
    auto const after = std::stoll(transport::query_parameter(target, "after"));
    auto const wait =
        milliseconds(std::stoll(transport::query_parameter(target, "wait_ms")));
    if (std::exchange(self->faults_->history_gone, false))
        co_return make_response(status_gone, {});
    auto const until = steady_clock::now() + wait;
    while (self->rows_.changes(table, after).empty() &&
           steady_clock::now() < until)
        co_await wait_for(standin_poll_interval);
    auto changes = self->rows_.changes(table, after);
    auto version = self->rows_.version();
    auto const limit = self->faults_->changes_per_response;
    if (changes.size() > limit)
    {
        std::ranges::sort(changes, {},
                          [](auto const& each)
                          {
                              return each.second.version;
                          });
        changes.resize(limit);
        version = changes.back().second.version;
    }
    co_return self->rows_response(table, changes, version);
}

standin_response standin_store::commit(std::string const& text)
{
    auto const body = json::parse(text).as_object();
    rows_.begin();
    for (auto const& each : body.at("put").as_array())
        rows_.put(std::string(each.at("table").as_string()),
                  std::string(each.at("key").as_string()), "");
    for (auto const& each : body.at("remove").as_array())
        rows_.remove(std::string(each.at("table").as_string()),
                     std::string(each.at("key").as_string()));
    return make_response(
        status_ok, {{"row_version", rows_.version()}, {"now_ms", steady_ms()}});
}

standin_response standin_store::rows_response(std::string const& table,
                                              found_rows const& found,
                                              std::int64_t version) const
{
    json::array list;
    for (auto const& [key, row] : found)
    {
        json::object fields;
        fields["table"] = table;
        fields["part"] = "";
        fields["key"] = key;
        fields["row_version"] = row.version;
        if (row.removed)
            fields["tombstone"] = true;
        else
            fields["value"] = encode_base64(row.value);
        list.push_back(std::move(fields));
    }
    return make_response(status_ok, {{"rows", std::move(list)},
                                     {"has_more", false},
                                     {"row_version", version},
                                     {"now_ms", steady_ms()}});
}

} // namespace masticshift::test_support
