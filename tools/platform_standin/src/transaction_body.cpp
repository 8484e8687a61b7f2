#include "transaction_body.hpp"

#include <boost/describe/class.hpp>
#include <boost/json.hpp>

#include <optional>
#include <set>
#include <vector>

namespace platform_standin
{

namespace json = boost::json;
using masticshift::failure;
using masticshift::outcome;
using masticshift::result_code;

namespace wire
{

struct check
{
    std::string table;
    std::string key;
    std::uint64_t version = 0;
};

struct write
{
    std::string table;
    std::string key;
    std::optional<std::string> value;
};

struct body
{
    std::vector<check> checks;
    std::vector<write> writes;
};

BOOST_DESCRIBE_STRUCT(check, (), (table, key, version))
BOOST_DESCRIBE_STRUCT(write, (), (table, key, value))
BOOST_DESCRIBE_STRUCT(body, (), (checks, writes))

} // namespace wire

namespace
{

failure bad_body(std::string const& detail)
{
    return {result_code::malformed_request, "transaction: " + detail};
}

store::transaction to_transaction(wire::body const& body)
{
    store::transaction request;
    for (auto const& each : body.checks)
        request.checks.push_back({{each.table, each.key}, each.version});
    for (auto const& each : body.writes)
        request.writes.push_back({{each.table, each.key}, each.value});
    return request;
}

bool writes_a_key_twice(store::transaction const& request)
{
    std::set<store::table_key> keys;
    for (auto const& write : request.writes)
    {
        if (!keys.insert(write.key).second)
            return true;
    }
    return false;
}

} // namespace

outcome<store::transaction> parse_transaction(std::string_view text)
{
    boost::system::error_code error;
    auto const parsed = json::parse(text, error);
    if (error)
        return bad_body("not JSON");
    auto const body = json::try_value_to<wire::body>(parsed);
    if (!body)
        return bad_body(body.error().message());
    auto request = to_transaction(*body);
    if (writes_a_key_twice(request))
        return bad_body("more than one write to the same key");
    return request;
}

json::array conflict_rows(std::vector<store::version_check> const& conflicts)
{
    json::array rows;
    for (auto const& each : conflicts)
    {
        rows.push_back(json::object{{"table", each.key.table},
                                    {"key", each.key.key},
                                    {"version", each.version}});
    }
    return rows;
}

json::array write_rows(store::transaction const& request,
                       std::vector<std::uint64_t> const& versions)
{
    json::array rows;
    for (std::size_t i = 0; i < request.writes.size(); ++i)
    {
        auto const& write = request.writes[i];
        json::object row{{"table", write.key.table},
                         {"key", write.key.key},
                         {"version", versions[i]}};
        row["value"] = write.value ? json::value(*write.value) : json::value();
        rows.push_back(std::move(row));
    }
    return rows;
}

} // namespace platform_standin
