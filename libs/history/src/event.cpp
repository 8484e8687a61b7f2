#include <history/event.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace masticshift::history
{

namespace
{

constexpr std::array<std::string_view, std::variant_size_v<event>> event_names{
    "call_sent",
    "call_answered",
    "call_broken",
    "entry_started",
    "job_admitted",
    "job_refused",
    "task_started",
    "task_ended",
    "job_answered",
    "configuration_in_force",
    "endpoint_leaving_seen",
    "admission_closed",
    "stopped",
    "run_started",
    "run_ended",
    "run_refused",
    "committed",
    "vm_state",
    "applied",
    "entry_cut",
    "entry_healed"};

constexpr std::array<std::string_view, 2> call_kind_names{"job", "request"};
constexpr std::array<std::string_view, 2> vm_condition_names{"live", "leaving"};

/// The enumerator whose number is the index of `name` in the table.
template <class Enum, std::size_t Size>
std::optional<Enum> find_name(std::array<std::string_view, Size> const& names,
                              std::string_view name)
{
    auto const found = std::ranges::find(names, name);
    if (found == names.end())
        return std::nullopt;
    return static_cast<Enum>(found - names.begin());
}

std::optional<unsigned> parse_number(std::string_view text)
{
    unsigned number = 0;
    auto const* const last = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), last, number);
    if (parsed.ec != std::errc{} || parsed.ptr != last)
        return std::nullopt;
    return number;
}

} // namespace

std::string to_string(attempt_name const& task)
{
    return task.id + "/" + std::to_string(task.index) + "/" +
           std::to_string(task.attempt);
}

std::optional<attempt_name> parse_attempt_name(std::string_view text)
{
    auto const second = text.rfind('/');
    if (second == std::string_view::npos || second == 0)
        return std::nullopt;
    auto const first = text.rfind('/', second - 1);
    if (first == std::string_view::npos || first == 0)
        return std::nullopt;
    auto const index = parse_number(text.substr(first + 1, second - first - 1));
    auto const attempt = parse_number(text.substr(second + 1));
    if (!index || !attempt)
        return std::nullopt;
    return attempt_name{std::string(text.substr(0, first)), *index, *attempt};
}

std::string_view name_of(call_kind kind)
{
    return call_kind_names.at(static_cast<std::size_t>(kind));
}

std::optional<call_kind> call_kind_of(std::string_view name)
{
    return find_name<call_kind>(call_kind_names, name);
}

std::string_view name_of(vm_condition condition)
{
    return vm_condition_names.at(static_cast<std::size_t>(condition));
}

std::optional<vm_condition> vm_condition_of(std::string_view name)
{
    return find_name<vm_condition>(vm_condition_names, name);
}

event_kind kind_of(event const& content)
{
    return static_cast<event_kind>(content.index());
}

std::string_view name_of(event_kind kind)
{
    return event_names.at(static_cast<std::size_t>(kind));
}

std::optional<event_kind> event_kind_of(std::string_view name)
{
    return find_name<event_kind>(event_names, name);
}

} // namespace masticshift::history
