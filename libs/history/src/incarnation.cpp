#include "incarnation.hpp"

#include <algorithm>
#include <limits>
#include <unordered_map>

namespace masticshift::history
{

namespace
{

bool is_entry_event(event_kind kind)
{
    return kind >= event_kind::entry_started && kind <= event_kind::stopped;
}

/// Adds one event of a process to its incarnation.
class incarnation_builder
{
public:
    incarnation_builder(incarnation& process, record const& origin)
        : process_(process), origin_(origin)
    {
    }

    void operator()(entry_started const& started) const
    {
        if (!started.caller_address.empty())
            process_.caller_address = started.caller_address;
    }

    void operator()(admission_closed const& closed) const
    {
        process_.closed = {&origin_, &closed};
    }

    void operator()(stopped const& stop) const
    {
        process_.stop = {&origin_, &stop};
        process_.end_us = origin_.us;
    }

    void operator()(configuration_in_force const& in_force) const
    {
        process_.in_force.push_back({&origin_, &in_force});
    }

    void operator()(task_started const& started) const
    {
        process_.starts.push_back({&origin_, &started});
    }

    template <class Event>
    void operator()(Event const&) const
    {
    }

private:
    incarnation& process_;
    record const& origin_;
};

incarnation start_incarnation(record const& first)
{
    incarnation process;
    process.source = first.source;
    process.caller_address = first.source;
    process.start_us = first.us;
    process.end_us = std::numeric_limits<std::int64_t>::max();
    process.first = &first;
    return process;
}

} // namespace

std::vector<outage> outages_of(recorded_history const& history)
{
    std::vector<outage> outages;
    for (auto const& each : history.records)
    {
        if (auto const* const start = std::get_if<entry_cut>(&each.content))
            outages.push_back({start->entry, each.us,
                               std::numeric_limits<std::int64_t>::max()});
        auto const* const end = std::get_if<entry_healed>(&each.content);
        if (!end)
            continue;
        for (auto& period : outages)
        {
            if (period.entry == end->entry)
                period.to = std::min(period.to, each.us);
        }
    }
    return outages;
}

std::vector<incarnation> incarnations_of(recorded_history const& history)
{
    std::vector<incarnation> processes;
    std::unordered_map<std::string_view, std::size_t> current;
    for (auto const& each : history.records)
    {
        auto const kind = kind_of(each.content);
        if (!is_entry_event(kind))
            continue;
        auto const known = current.find(each.source);
        bool const is_new =
            known == current.end() || kind == event_kind::entry_started;
        if (is_new && known != current.end())
        {
            auto& previous = processes[known->second];
            previous.end_us = std::min(previous.end_us, each.us);
        }
        if (is_new)
        {
            current[each.source] = processes.size();
            processes.push_back(start_incarnation(each));
        }
        auto& process = processes[current[each.source]];
        std::visit(incarnation_builder(process, each), each.content);
    }
    return processes;
}

std::int64_t end_of(recorded_history const& history)
{
    std::int64_t last = 0;
    for (auto const& each : history.records)
        last = std::max(last, each.us);
    return last;
}

} // namespace masticshift::history
