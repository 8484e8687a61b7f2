#include "message_counts.hpp"

#include <charconv>

namespace masticshift::load
{

namespace
{

constexpr std::string_view series = "masticshift_messages_total{";
constexpr std::string_view label = "kind=\"";
constexpr double messages_per_item = 2;

/// Adds the sample in this line if it belongs to `series`.
void parse_line(std::string_view line, message_counts& counts)
{
    if (!line.starts_with(series))
        return;
    auto const start = line.find(label);
    auto const close = line.find('}');
    if (start == std::string_view::npos || close == std::string_view::npos)
        return;
    auto const name = line.substr(start + label.size());
    auto const kind = name.substr(0, name.find('"'));
    auto value = line.substr(close + 1);
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    double count = 0;
    auto const parsed =
        std::from_chars(value.data(), value.data() + value.size(), count);
    if (parsed.ec == std::errc{})
        counts.by_kind[std::string(kind)] += count;
}

} // namespace

double message_counts::total() const
{
    double sum = 0;
    for (auto const& [kind, count] : by_kind)
        sum += count;
    return sum;
}

void message_counts::add(message_counts const& other)
{
    for (auto const& [kind, count] : other.by_kind)
        by_kind[kind] += count;
}

message_counts parse_message_counts(std::string_view metrics)
{
    message_counts counts;
    while (!metrics.empty())
    {
        auto const end = std::min(metrics.find('\n'), metrics.size());
        parse_line(metrics.substr(0, end), counts);
        metrics.remove_prefix(std::min(end + 1, metrics.size()));
    }
    return counts;
}

message_counts difference(message_counts const& before,
                          message_counts const& after)
{
    auto result = after;
    for (auto const& [kind, count] : before.by_kind)
        result.by_kind[kind] -= count;
    return result;
}

double ideal_messages(std::uint64_t jobs, std::uint64_t tasks)
{
    return messages_per_item * static_cast<double>(jobs + tasks);
}

} // namespace masticshift::load
