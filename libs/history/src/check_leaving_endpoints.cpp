#include "incarnation.hpp"
#include "report_builder.hpp"
#include "rule_checks.hpp"

#include <algorithm>
#include <limits>
#include <unordered_map>

namespace masticshift::history
{

namespace
{

using std::chrono::microseconds;

/// A period in which an endpoint is known to be leaving.
struct leaving_period
{
    /// The earliest record that shows the endpoint as leaving.
    record const* notice = nullptr;
    /// Wall time in microseconds.
    std::int64_t to = std::numeric_limits<std::int64_t>::max();
};

using leaving_index =
    std::unordered_map<std::string_view, std::vector<leaving_period>>;

void add_notice(std::vector<leaving_period>& periods, record const* notice)
{
    bool const is_open =
        !periods.empty() &&
        periods.back().to == std::numeric_limits<std::int64_t>::max();
    if (!is_open)
        periods.push_back({notice});
    else if (notice->us < periods.back().notice->us)
        periods.back().notice = notice;
}

leaving_index leaving_periods_of(recorded_history const& history)
{
    leaving_index listed;
    for (auto const& shown : collect<vm_state>(history))
    {
        auto& periods = listed[shown.content->address];
        if (shown.content->state == vm_condition::leaving)
            add_notice(periods, shown.origin);
        else if (!periods.empty())
            periods.back().to = std::min(periods.back().to, shown.origin->us);
    }
    // The list that an entry read may be stale, so the records of entries count
    // only for endpoints whose VM state the platform did not record.
    leaving_index learned_by_entries;
    for (auto const& notice : collect<endpoint_leaving_seen>(history))
    {
        if (!listed.contains(notice.content->endpoint))
            add_notice(learned_by_entries[notice.content->endpoint],
                       notice.origin);
    }
    listed.merge(learned_by_entries);
    return listed;
}

/// The source of the entry that started each attempt, by the written form of
/// its `attempt_name`.
using placement_index = std::unordered_map<std::string, std::string_view>;

placement_index placements_of(recorded_history const& history)
{
    placement_index placements;
    for (auto const& start : collect<task_started>(history))
        placements[to_string(start.content->task)] = start.origin->source;
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

    bool is_late(leaving_period const& leaving,
                 typed_record<run_started> run) const
    {
        auto const us = run.origin->us;
        return us < leaving.to && us - leaving.notice->us > bound_us_ &&
               !started_around_outage(run);
    }

    /// Whether the endpoint was still leaving when the bound expired.
    bool exceeds_bound(leaving_period const& leaving, std::int64_t end_us) const
    {
        return std::min(leaving.to, end_us) - leaving.notice->us > bound_us_;
    }

private:
    /// Whether the entry that started the run was in an outage, or left one
    /// within the bound before the run: it may not have learned yet that the
    /// endpoint is leaving.
    bool started_around_outage(typed_record<run_started> run) const
    {
        auto const placed = placements_.find(to_string(run.content->task));
        if (placed == placements_.end())
            return false;
        auto const us = run.origin->us;
        return std::ranges::any_of(
            outages_,
            [&](outage const& each)
            {
                return each.entry == placed->second && each.from <= us &&
                       (each.to >= us || us - each.to <= bound_us_);
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
    report_builder report(rule::leaving_endpoint_spared, history);
    leaving_check const check(history, bound);
    auto const leaving = leaving_periods_of(history);
    auto const end_us = end_of(history);
    for (auto const& [endpoint, periods] : leaving)
        report.add_examined(static_cast<std::size_t>(std::ranges::count_if(
            periods,
            [&](auto const& period)
            {
                return check.exceeds_bound(period, end_us);
            })));
    for (auto const& run : collect<run_started>(history))
    {
        auto const periods = leaving.find(run.origin->source);
        if (periods == leaving.end())
            continue;
        for (auto const& period : periods->second)
        {
            if (check.is_late(period, run))
                report.add_violation(
                    to_string(run.content->task) +
                        " started at a leaving endpoint after the bound",
                    {period.notice, run.origin});
        }
    }
    return std::move(report).build();
}

} // namespace masticshift::history
