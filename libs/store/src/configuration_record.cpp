#include <store/configuration_record.hpp>

#include "json_access.hpp"

#include <boost/json/serialize.hpp>

#include <algorithm>

namespace masticshift::store
{

namespace json = boost::json;

namespace
{

failure bad_record(std::string const& detail)
{
    return {result_code::platform_bad_answer, "configuration: " + detail};
}

bool read_changes(json::array const& rows,
                  std::vector<revision_origin>& changes)
{
    for (auto const& row : rows)
    {
        if (!row.is_object())
            return false;
        auto const revision = number_at(row.as_object(), "revision");
        auto const change_id = string_at(row.as_object(), "change_id");
        if (!revision || !change_id)
            return false;
        changes.push_back({*revision, *change_id});
    }
    return true;
}

/// Whether the changes have consecutive revisions that end with the revision of
/// the record.
bool are_consecutive(configuration_record const& record)
{
    auto expected = record.revision + 1 - record.changes.size();
    for (auto const& change : record.changes)
    {
        if (change.revision != expected++)
            return false;
    }
    return !record.changes.empty();
}

} // namespace

change_state state_of(configuration_record const& record,
                      revision_origin const& attempt)
{
    if (record.revision < attempt.revision)
        return change_state::pending;
    for (auto const& change : record.changes)
    {
        if (change.revision == attempt.revision)
        {
            return change.change_id == attempt.change_id
                       ? change_state::applied
                       : change_state::superseded;
        }
    }
    return change_state::not_recorded;
}

std::optional<std::uint64_t> revision_of(configuration_record const& record,
                                         std::string_view change_id)
{
    auto const found = std::ranges::find(record.changes, change_id,
                                         &revision_origin::change_id);
    if (found == record.changes.end())
        return std::nullopt;
    return found->revision;
}

configuration_record next_record(configuration_record const& previous,
                                 configuration_change const& change)
{
    configuration_record next;
    next.revision = previous.revision + 1;
    next.text = change.text;
    next.changes = previous.changes;
    if (next.changes.size() >= max_recorded_changes)
        next.changes.erase(next.changes.begin());
    next.changes.push_back({next.revision, change.change_id});
    return next;
}

std::string to_json(configuration_record const& record)
{
    json::array changes;
    for (auto const& change : record.changes)
    {
        changes.push_back(json::object{{"revision", change.revision},
                                       {"change_id", change.change_id}});
    }
    json::object object;
    object["revision"] = record.revision;
    if (!record.changes.empty())
        object["change_id"] = record.changes.back().change_id;
    object["text"] = record.text;
    object["changes"] = std::move(changes);
    return json::serialize(object);
}

outcome<configuration_record> parse_record(std::string_view text)
{
    auto const object = parse_object(text);
    if (!object)
        return bad_record("not a JSON object");
    auto const revision = number_at(*object, "revision");
    auto const content = string_at(*object, "text");
    auto const change_id = string_at(*object, "change_id");
    if (!revision || !content || !change_id)
        return bad_record("revision, change_id or text is missing");
    configuration_record record{*revision, *content, {}};
    auto const* const changes = array_at(*object, "changes");
    if (changes == nullptr)
        record.changes.push_back({*revision, *change_id});
    else if (!read_changes(*changes, record.changes))
        return bad_record("an element of changes is malformed");
    if (!are_consecutive(record))
        return bad_record("the revisions of the changes are not consecutive up "
                          "to the revision");
    return record;
}

} // namespace masticshift::store
