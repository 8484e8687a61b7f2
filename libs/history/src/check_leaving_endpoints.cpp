#include "findings.hpp"
#include "incarnation.hpp"
#include "rule_checks.hpp"

#include <algorithm>
#include <limits>
#include <unordered_map>

namespace masticshift::history
{

namespace
{

using std::chrono::microseconds;

/// A time in which an endpoint is known to leave. In microseconds.
struct leaving_time
{
    record const* sight = nullptr;
    std::int64_t to = std::numeric_limits<std::int64_t>::max();
};

using leaving_index =
    std::unordered_map<std::string_view, std::vector<leaving_time>>;

void add_sight(std::vector<leaving_time>& times, record const* sight)
{
    bool const is_open =
        !times.empty() &&
        times.back().to == std::numeric_limits<std::int64_t>::max();
    if (!is_open)
        times.push_back({sight});
    else if (sight->us < times.back().sight->us)
        times.back().sight = sight;
}

leaving_index leaving_times_of(recorded_history const& history)
{
    leaving_index listed;
    for (auto const& shown : collect<vm_state>(history))
    {
        auto& times = listed[shown.what->address];
        if (shown.what->state == vm_condition::leaving)
            add_sight(times, shown.at);
        else if (!times.empty())
            times.back().to = std::min(times.back().to, shown.at->us);
    }
    // Entries may see a stale list, so the platform's own word goes first.
    leaving_index seen_by_entries;
    for (auto const& sight : collect<endpoint_leaving_seen>(history))
    {
        if (!listed.contains(sight.what->endpoint))
            add_sight(seen_by_entries[sight.what->endpoint], sight.at);
    }
    listed.merge(seen_by_entries);
    return listed;
}

/// The entry that placed each attempt, by the name of the task.
using placement_index = std::unordered_map<std::string, std::string_view>;

placement_index placements_of(recorded_history const& history)
{
    placement_index placements;
    for (auto const& start : collect<task_started>(history))
        placements[to_string(start.what->task)] = start.at->source;
    return placements;
}

class leaving_check
{
public:
    leaving_check(recorded_history const& history, milliseconds bound)
        : bound_us_(microseconds(bound).count()),
          outages_(outages_of(history)),
          placements_(placements_of(history))
    {
    }

    bool is_late(leaving_time const& leaving, seen<run_started> run) const
    {
        auto const us = run.at->us;
        return us < leaving.to && us - leaving.sight->us > bound_us_ &&
               !could_not_know(run);
    }

    /// Whether the bound passed while the endpoint was still leaving.
    bool is_tested(leaving_time const& leaving, std::int64_t end_us) const
    {
        return std::min(leaving.to, end_us) - leaving.sight->us > bound_us_;
    }

private:
    /// Whether the entry that placed the run was cut off until lately.
    bool could_not_know(seen<run_started> run) const
    {
        auto const placed = placements_.find(to_string(run.what->task));
        if (placed == placements_.end())
            return false;
        auto const us = run.at->us;
        return std::ranges::any_of(
            outages_,
            [&](outage const& cut)
            {
                return cut.entry == placed->second && cut.from <= us &&
                       (cut.to >= us || us - cut.to <= bound_us_);
            });
    }

    std::int64_t bound_us_;
    std::vector<outage> outages_;
    placement_index placements_;
};

} // namespace

rule_report check_leaving_endpoints(recorded_history const& history,
                                    milliseconds bound)
{
    findings found(rule::leaving_endpoint_spared, history);
    leaving_check const check(history, bound);
    auto const leaving = leaving_times_of(history);
    auto const end_us = end_of(history);
    for (auto const& [endpoint, times] : leaving)
        found.examine(static_cast<std::size_t>(
            std::ranges::count_if(times,
                                  [&](auto const& time)
                                  {
                                      return check.is_tested(time, end_us);
                                  })));
    for (auto const& run : collect<run_started>(history))
    {
        auto const times = leaving.find(run.at->source);
        if (times == leaving.end())
            continue;
        for (auto const& time : times->second)
        {
            if (check.is_late(time, run))
                found.violate(to_string(run.what->task) +
                                  " started at an endpoint that leaves",
                              {time.sight, run.at});
        }
    }
    return std::move(found).report();
}

} // namespace masticshift::history
