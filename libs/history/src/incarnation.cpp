#include "incarnation.hpp"

#include <algorithm>
#include <limits>
#include <unordered_map>

namespace masticshift::history
{

namespace
{

bool is_of_entry(event_kind kind)
{
    return kind >= event_kind::entry_started && kind <= event_kind::stopped;
}

/// Adds one of the process's events to what is known of it.
class incarnation_filler
{
public:
    incarnation_filler(incarnation& process, record const& at)
        : process_(process), at_(at)
    {
    }

    void operator()(entry_started const& started) const
    {
        if (!started.caller_address.empty())
            process_.caller_address = started.caller_address;
    }

    void operator()(admission_closed const& closed) const
    {
        process_.closed = {&at_, &closed};
    }

    void operator()(stopped const& stop) const
    {
        process_.stop = {&at_, &stop};
        process_.end_us = at_.us;
    }

    void operator()(configuration_in_force const& in_force) const
    {
        process_.in_force.push_back({&at_, &in_force});
    }

    void operator()(task_started const& started) const
    {
        process_.starts.push_back({&at_, &started});
    }

    template <class Event>
    void operator()(Event const&) const
    {
    }

private:
    incarnation& process_;
    record const& at_;
};

incarnation open_incarnation(record const& first)
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
    for (auto const& entry : history.records)
    {
        if (auto const* const cut = std::get_if<entry_cut>(&entry.content))
            outages.push_back({cut->entry, entry.us,
                               std::numeric_limits<std::int64_t>::max()});
        auto const* const healed = std::get_if<entry_healed>(&entry.content);
        if (!healed)
            continue;
        for (auto& open : outages)
        {
            if (open.entry == healed->entry)
                open.to = std::min(open.to, entry.us);
        }
    }
    return outages;
}

std::vector<incarnation> incarnations_of(recorded_history const& history)
{
    std::vector<incarnation> processes;
    std::unordered_map<std::string_view, std::size_t> current;
    for (auto const& entry : history.records)
    {
        auto const kind = kind_of(entry.content);
        if (!is_of_entry(kind))
            continue;
        auto const known = current.find(entry.source);
        bool const is_new =
            known == current.end() || kind == event_kind::entry_started;
        if (is_new && known != current.end())
        {
            auto& previous = processes[known->second];
            previous.end_us = std::min(previous.end_us, entry.us);
        }
        if (is_new)
        {
            current[entry.source] = processes.size();
            processes.push_back(open_incarnation(entry));
        }
        auto& process = processes[current[entry.source]];
        std::visit(incarnation_filler(process, entry), entry.content);
    }
    return processes;
}

std::int64_t end_of(recorded_history const& history)
{
    std::int64_t last = 0;
    for (auto const& entry : history.records)
        last = std::max(last, entry.us);
    return last;
}

} // namespace masticshift::history
