#include <history/codec.hpp>

#include <core/log.hpp>

#include <boost/describe.hpp>
#include <boost/json.hpp>
#include <boost/mp11.hpp>

#include <array>

namespace masticshift::history
{

BOOST_DESCRIBE_STRUCT(call_sent, (),
                      (call, id, entry, service, kind, idempotent, inputs))
BOOST_DESCRIBE_STRUCT(task_answer, (), (task, echo, output))
BOOST_DESCRIBE_STRUCT(call_answered, (), (call, id, code, ran, answers))
BOOST_DESCRIBE_STRUCT(call_broken, (), (call, id))
BOOST_DESCRIBE_STRUCT(entry_started, (), (incarnation, caller_address))
BOOST_DESCRIBE_STRUCT(job_admitted, (), (id, revision))
BOOST_DESCRIBE_STRUCT(job_refused, (), (id, code, ran))
BOOST_DESCRIBE_STRUCT(task_started, (), (task, endpoint))
BOOST_DESCRIBE_STRUCT(task_ended, (), (task, result))
BOOST_DESCRIBE_STRUCT(job_answered, (), (id, code, ran))
BOOST_DESCRIBE_STRUCT(configuration_in_force, (), (revision))
BOOST_DESCRIBE_STRUCT(endpoint_leaving_seen, (), (endpoint))
BOOST_DESCRIBE_STRUCT(admission_closed, (), ())
BOOST_DESCRIBE_STRUCT(stopped, (), (cut))
BOOST_DESCRIBE_STRUCT(run_started, (), (task, service))
BOOST_DESCRIBE_STRUCT(run_ended, (), (task))
BOOST_DESCRIBE_STRUCT(run_refused, (), (task))
BOOST_DESCRIBE_STRUCT(committed, (), (revision, change_id))
BOOST_DESCRIBE_STRUCT(vm_state, (), (address, state))
BOOST_DESCRIBE_STRUCT(applied, (), (revision, change_id, code))
BOOST_DESCRIBE_STRUCT(entry_cut, (), (entry))
BOOST_DESCRIBE_STRUCT(entry_healed, (), (entry))

namespace
{

namespace describe = boost::describe;
namespace json = boost::json;

template <class T>
using members_of = describe::describe_members<T, describe::mod_public>;

json::value to_json(std::string const& text)
{
    return json::value(text);
}

json::value to_json(bool flag)
{
    return json::value(flag);
}

template <std::integral Number>
json::value to_json(Number number)
{
    return json::value(number);
}

json::value to_json(result_code code)
{
    return json::value(static_cast<int>(code));
}

json::value to_json(attempt_name const& task)
{
    return json::value(to_string(task));
}

template <class Enum>
requires std::is_enum_v<Enum> json::value to_json(Enum value)
{
    return json::value(name_of(value));
}

template <class Described>
requires describe::has_describe_members<Described>::value json::value
to_json(Described const& object);

template <class Element>
json::value to_json(std::vector<Element> const& elements)
{
    json::array array;
    for (auto const& element : elements)
        array.push_back(to_json(element));
    return array;
}

template <class Described>
requires describe::has_describe_members<Described>::value json::value
to_json(Described const& object)
{
    json::object fields;
    boost::mp11::mp_for_each<members_of<Described>>(
        [&](auto member)
        {
            fields[member.name] = to_json(object.*member.pointer);
        });
    return fields;
}

bool from_json(json::value const& value, std::string& text)
{
    if (!value.is_string())
        return false;
    text = value.get_string();
    return true;
}

bool from_json(json::value const& value, bool& flag)
{
    if (!value.is_bool())
        return false;
    flag = value.get_bool();
    return true;
}

template <std::integral Number>
bool from_json(json::value const& value, Number& number)
{
    json::error_code error;
    if (!value.is_int64() && !value.is_uint64())
        return false;
    number = value.to_number<Number>(error);
    return !error;
}

/// Assigns the value, if there is one. False otherwise.
template <class T>
bool assign_if_present(std::optional<T> value, T& target)
{
    if (!value)
        return false;
    target = *std::move(value);
    return true;
}

bool from_json(json::value const& value, result_code& code)
{
    int number = 0;
    return from_json(value, number) &&
           assign_if_present(result_code_of(number), code);
}

bool from_json(json::value const& value, ran_state& ran)
{
    return value.is_string() &&
           assign_if_present(ran_state_of(value.get_string()), ran);
}

bool from_json(json::value const& value, call_kind& kind)
{
    return value.is_string() &&
           assign_if_present(call_kind_of(value.get_string()), kind);
}

bool from_json(json::value const& value, vm_condition& condition)
{
    return value.is_string() &&
           assign_if_present(vm_condition_of(value.get_string()), condition);
}

bool from_json(json::value const& value, attempt_name& task)
{
    return value.is_string() &&
           assign_if_present(parse_attempt_name(value.get_string()), task);
}

template <class Described>
requires describe::has_describe_members<Described>::value bool
from_json(json::value const& value, Described& object);

template <class Element>
bool from_json(json::value const& value, std::vector<Element>& elements)
{
    if (!value.is_array())
        return false;
    for (auto const& item : value.get_array())
    {
        if (!from_json(item, elements.emplace_back()))
            return false;
    }
    return true;
}

template <class Described>
requires describe::has_describe_members<Described>::value bool
from_json(json::value const& value, Described& object)
{
    auto const* const fields = value.if_object();
    bool is_complete = fields != nullptr;
    boost::mp11::mp_for_each<members_of<Described>>(
        [&](auto member)
        {
            auto const* const field =
                is_complete ? fields->if_contains(member.name) : nullptr;
            is_complete = field && from_json(*field, object.*member.pointer);
        });
    return is_complete;
}

/// Parses an event of this kind. False when a field is bad or missing.
bool parse_event(event_kind kind, json::value const& line, event& content)
{
    return boost::mp11::mp_with_index<std::variant_size_v<event>>(
        static_cast<std::size_t>(kind),
        [&](auto index)
        {
            return from_json(line, content.emplace<index()>());
        });
}

failure malformed(std::string_view detail)
{
    return {result_code::io_error, std::string(detail)};
}

} // namespace

json::object to_fields(event const& content)
{
    return std::visit(
        [](auto const& fields)
        {
            return to_json(fields).as_object();
        },
        content);
}

outcome<std::optional<parsed_line>> parse_record_line(std::string_view line)
{
    json::error_code error;
    auto const value = json::parse(line, error);
    if (error || !value.is_object())
        return malformed("not a JSON object");
    auto const& object = value.get_object();
    auto const* const name = object.if_contains("event");
    if (!name || !name->is_string())
        return malformed("the field 'event' is missing or not a string");
    auto const kind = event_kind_of(name->get_string());
    if (!kind)
        return std::optional<parsed_line>{};
    parsed_line parsed;
    auto const* const us = object.if_contains("us");
    auto const* const source = object.if_contains("source");
    if (!us || !source || !from_json(*us, parsed.us) ||
        !from_json(*source, parsed.source))
        return malformed(
            "the field 'us' or 'source' is missing or has a wrong type");
    if (!parse_event(*kind, value, parsed.content))
        return malformed("bad or missing field of the event " +
                         std::string(name_of(*kind)));
    return std::optional(std::move(parsed));
}

void write(event const& content)
{
    log_event(log_level::info, name_of(kind_of(content)), to_fields(content));
}

void write_as(std::string_view source, event const& content)
{
    auto fields = to_fields(content);
    fields["source"] = source;
    log_event(log_level::info, name_of(kind_of(content)), std::move(fields));
}

} // namespace masticshift::history
