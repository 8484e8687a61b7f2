#include "submission.hpp"

#include <boost/json.hpp>

namespace masticshift::daemon
{

namespace
{

namespace json = boost::json;

constexpr double max_task_size = 1'000'000;

failure malformed(std::string detail)
{
    return {result_code::malformed_request, std::move(detail)};
}

outcome<void> read_string(json::value const& value, std::string_view name,
                          std::string& into)
{
    if (!value.is_string())
        return malformed("'" + std::string(name) + "' is not a string");
    into = value.get_string();
    return {};
}

outcome<void> read_timeout(json::value const& value, milliseconds& into)
{
    std::int64_t const count = value.is_int64() ? value.get_int64() : 0;
    if (count < 1 || count > max_timeout.count())
        return malformed("'timeout_ms' is not a whole number from 1 to " +
                         std::to_string(max_timeout.count()));
    into = milliseconds(count);
    return {};
}

outcome<float> parse_size(json::value const& value)
{
    boost::system::error_code error;
    auto const size = value.to_number<double>(error);
    if (error || !(size > 0) || size > max_task_size)
        return malformed(
            "'size' of a task is not a number above 0, or is too large");
    return static_cast<float>(size);
}

outcome<task_input> parse_task(json::value const& value)
{
    if (!value.is_object())
        return malformed("a task is not an object");
    task_input task;
    bool has_input = false;
    for (auto const& field : value.get_object())
    {
        if (field.key() == "input")
        {
            task.body = json::serialize(field.value());
            has_input = true;
        }
        else if (field.key() == "size")
        {
            auto const size = parse_size(field.value());
            if (!size)
                return size.error();
            task.size = *size;
        }
        else
        {
            return malformed("a task has the unknown field '" +
                             std::string(field.key()) + "'");
        }
    }
    if (!has_input)
        return malformed("a task has no 'input'");
    return task;
}

outcome<void> read_tasks(json::value const& value, unsigned max_tasks,
                         std::vector<task_input>& into)
{
    if (!value.is_array() || value.get_array().empty())
        return malformed("'tasks' is not an array with at least one task");
    auto const& tasks = value.get_array();
    if (tasks.size() > max_tasks)
    {
        return failure{result_code::too_many_tasks,
                       "a job has at most " + std::to_string(max_tasks) +
                           " tasks"};
    }
    into.reserve(tasks.size());
    for (auto const& element : tasks)
    {
        auto task = parse_task(element);
        if (!task)
            return task.error();
        into.push_back(std::move(*task));
    }
    return {};
}

outcome<void> read_field(json::key_value_pair const& field, unsigned max_tasks,
                         submission& into)
{
    auto const& name = field.key();
    if (name == "id")
        return read_string(field.value(), name, into.id);
    if (name == "key")
        return read_string(field.value(), name, into.key);
    if (name == "service")
        return read_string(field.value(), name, into.service);
    if (name == "timeout_ms")
        return read_timeout(field.value(), into.timeout);
    if (name == "tasks")
        return read_tasks(field.value(), max_tasks, into.tasks);
    return malformed("unknown field '" + std::string(name) + "'");
}

outcome<void> parse_job(std::string_view body, unsigned max_tasks,
                        submission& into)
{
    boost::system::error_code error;
    json::monotonic_resource memory;
    auto const value = json::parse(body, error, &memory);
    if (error)
        return malformed("the body is not JSON: " + error.message());
    if (!value.is_object())
        return malformed("the body is not an object");
    for (auto const& field : value.get_object())
    {
        auto const read = read_field(field, max_tasks, into);
        if (!read)
            return read.error();
    }
    if (into.service.empty())
        return malformed("'service' is missing");
    if (into.tasks.empty())
        return malformed("'tasks' is missing");
    return {};
}

outcome<void> parse_request(submission_call const& call, submission& into)
{
    if (call.timeout < milliseconds(0) || call.timeout > max_timeout)
        return malformed("the timeout is negative or too long");
    if (call.service.empty())
        return malformed("the service of the request is missing");
    into.id = call.id;
    into.service = call.service;
    into.idempotent = call.idempotent;
    into.timeout = call.timeout;
    into.tasks.push_back({call.body, 1});
    return {};
}

} // namespace

outcome<submission> parse_submission(submission_call const& call,
                                     unsigned max_tasks)
{
    submission parsed;
    parsed.kind = call.kind;
    auto const read = call.kind == homes::submission_kind::job
                          ? parse_job(call.body, max_tasks, parsed)
                          : parse_request(call, parsed);
    if (!read)
        return read.error();
    homes::submission_parts parts;
    parts.kind = call.kind;
    parts.service = parsed.service;
    parts.body = call.body;
    parts.idempotent = parsed.idempotent;
    parts.timeout = parsed.timeout;
    parsed.digest = homes::digest_of(parts);
    return parsed;
}

} // namespace masticshift::daemon
