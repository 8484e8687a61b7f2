#include "store.hpp"

#include <boost/beast/core/detail/base64.hpp>

#include <algorithm>
#include <chrono>

namespace review
{

namespace json = boost::json;

namespace
{

constexpr std::size_t page_rows = 500;

std::string encode_base64(std::string const& bytes)
{
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::int64_t steady_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::string parameter(http_request const& request, char const* name)
{
    auto const found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
}

std::string text(json::object const& fields, char const* name)
{
    auto const* const value = fields.if_contains(name);
    return value == nullptr ? std::string() : std::string(value->as_string());
}

} // namespace

store::store()
{
    port_ = serve_http(
        [this](http_request const& request)
        {
            return handle(request);
        });
}

std::uint16_t store::port() const
{
    return port_;
}

void store::write(std::string const& table, std::string const& key,
                  std::string const& value)
{
    std::lock_guard const lock(mutex_);
    rows_[{table, key}] = {encode_base64(value), ++version_, false};
    changed_.notify_all();
}

std::optional<http_response> store::handle(http_request const& request)
{
    if (request.path == "/rows-get")
        return get(request);
    if (request.path == "/rows-feed")
        return feed(request);
    if (request.path == "/rows-tx")
        return transact(request);
    return http_response{404, "{}"};
}

json::object store::describe(row_key const& key, row const& value)
{
    json::object fields{{"table", key.first},
                        {"part", ""},
                        {"key", key.second},
                        {"row_version", value.version}};
    if (value.removed)
        fields["tombstone"] = true;
    else
        fields["value"] = value.value;
    return fields;
}

http_response store::rows_response(json::array rows, bool has_more) const
{
    json::object body{{"rows", std::move(rows)},
                      {"has_more", has_more},
                      {"row_version", version_},
                      {"now_ms", steady_ms()}};
    return {200, json::serialize(body)};
}

http_response store::get(http_request const& request)
{
    std::lock_guard const lock(mutex_);
    auto const table = parameter(request, "table");
    auto const target = parameter(request, "target");
    json::array found;
    for (auto const& [key, value] : rows_)
    {
        if (key.first != table || value.removed ||
            key.second < parameter(request, "from") ||
            (!target.empty() && key.second >= target))
            continue;
        if (found.size() == page_rows)
            return rows_response(std::move(found), true);
        found.push_back(describe(key, value));
    }
    return rows_response(std::move(found), false);
}

json::array store::changes(std::string const& table, std::int64_t after) const
{
    std::vector<std::pair<std::int64_t, json::object>> changed;
    for (auto const& [key, value] : rows_)
    {
        if (key.first == table && value.version > after)
            changed.emplace_back(value.version, describe(key, value));
    }
    std::sort(changed.begin(), changed.end(),
              [](auto const& left, auto const& right)
              {
                  return left.first < right.first;
              });
    json::array found;
    for (auto& [version, fields] : changed)
        found.push_back(std::move(fields));
    return found;
}

http_response store::feed(http_request const& request)
{
    std::unique_lock lock(mutex_);
    auto const table = parameter(request, "table");
    auto const after = std::stoll("0" + parameter(request, "after"));
    auto const wait = std::stoll("0" + parameter(request, "wait_ms"));
    json::array found;
    changed_.wait_for(lock, std::chrono::milliseconds(wait),
                      [&]
                      {
                          found = changes(table, after);
                          return !found.empty();
                      });
    return rows_response(std::move(found), false);
}

http_response store::transact(http_request const& request)
{
    std::lock_guard const lock(mutex_);
    auto const body = json::parse(request.body).as_object();
    json::array conflicts;
    for (auto const& each : body.at("expected_rev").as_array())
    {
        auto const& fields = each.as_object();
        auto const found =
            rows_.find({text(fields, "table"), text(fields, "key")});
        auto const version = found == rows_.end() || found->second.removed
                                 ? 0
                                 : found->second.version;
        if (version != fields.at("row_version").to_number<std::int64_t>())
            conflicts.push_back(each);
    }
    if (!conflicts.empty())
        return {412, json::serialize(json::object{{"rows", conflicts}})};
    ++version_;
    for (auto const& each : body.at("put").as_array())
    {
        auto const& fields = each.as_object();
        rows_[{text(fields, "table"), text(fields, "key")}] = {
            text(fields, "value"), version_, false};
    }
    for (auto const& each : body.at("remove").as_array())
    {
        auto const& fields = each.as_object();
        rows_[{text(fields, "table"), text(fields, "key")}] = {
            {}, version_, true};
    }
    changed_.notify_all();
    return {200, json::serialize(json::object{{"row_version", version_},
                                              {"now_ms", steady_ms()}})};
}

} // namespace review
