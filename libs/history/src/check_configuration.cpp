#include "findings.hpp"
#include "incarnation.hpp"
#include "rule_checks.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace masticshift::history
{

namespace
{

using std::chrono::microseconds;
using commits = std::vector<seen<committed>>;

void check_never_lower(incarnation const& process, findings& found)
{
    seen<configuration_in_force> highest;
    for (auto const& next : process.in_force)
    {
        found.examine();
        if (highest.at && next.what->revision < highest.what->revision)
            found.violate("revision in force went from " +
                              std::to_string(highest.what->revision) + " to " +
                              std::to_string(next.what->revision),
                          {highest.at, next.at});
        else
            highest = next;
    }
}

void check_gapless(commits const& all, findings& found)
{
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        found.examine();
        auto const before = i == 0 ? 0 : all[i - 1].what->revision;
        if (all[i].what->revision != before + 1)
            found.violate("revision " + std::to_string(all[i].what->revision) +
                              " was committed after " + std::to_string(before),
                          {all[i].at});
    }
}

/// An entry takes only what was committed.
void check_known(incarnation const& process, commits const& all,
                 findings& found)
{
    if (all.empty())
        return;
    std::unordered_set<std::uint64_t> known;
    for (auto const& commit : all)
        known.insert(commit.what->revision);
    for (auto const& in_force : process.in_force)
    {
        if (!known.contains(in_force.what->revision))
            found.violate("revision " +
                              std::to_string(in_force.what->revision) +
                              " is in force and was never committed",
                          {in_force.at});
    }
}

/// Operators are told the truth about their changes.
void check_operators(recorded_history const& history, commits const& all,
                     findings& found)
{
    std::unordered_map<std::string_view, seen<committed>> by_change;
    for (auto const& commit : all)
        by_change.try_emplace(commit.what->change_id, commit);
    for (auto const& told : collect<applied>(history))
    {
        found.examine();
        auto const& change = *told.what;
        auto const commit = by_change.find(change.change_id);
        bool const took_effect = commit != by_change.end();
        if (change.code == result_code::ok &&
            (!took_effect || commit->second.what->revision != change.revision))
            found.violate("accepted change " + change.change_id +
                              " is not in the table",
                          {told.at});
        if (change.code == result_code::revision_conflict && took_effect)
            found.violate("refused change " + change.change_id + " took effect",
                          {commit->second.at, told.at});
    }
}

class spread_check
{
public:
    spread_check(recorded_history const& history, milliseconds bound)
        : bound_us_(microseconds(bound).count()),
          end_us_(end_of(history)),
          outages_(outages_of(history))
    {
    }

    void operator()(incarnation const& process, seen<committed> commit,
                    findings& found) const
    {
        auto const due = due_time(process, commit.at->us);
        if (due > std::min(process.end_us, end_us_) || is_away(process, due))
            return;
        found.examine();
        auto const in_time = std::ranges::any_of(
            process.in_force,
            [&](auto const& in_force)
            {
                return in_force.at->us <= due &&
                       in_force.what->revision >= commit.what->revision;
            });
        if (!in_time)
            found.violate("revision " + std::to_string(commit.what->revision) +
                              " was not in force in time at " +
                              std::string(process.source),
                          {commit.at, process.first});
    }

private:
    /// When the entry must have the revision: the bound counts from the last
    /// time at which the entry could not hear of it.
    std::int64_t due_time(incarnation const& process, std::int64_t us) const
    {
        auto from = std::max(us, process.start_us);
        for (auto const& cut : outages_)
        {
            if (cut.entry == process.source && cut.from <= from + bound_us_ &&
                cut.to > from && cut.to <= end_us_)
                from = cut.to;
        }
        return from + bound_us_;
    }

    bool is_away(incarnation const& process, std::int64_t us) const
    {
        return std::ranges::any_of(outages_,
                                   [&](outage const& cut)
                                   {
                                       return cut.entry == process.source &&
                                              cut.from <= us && cut.to >= us;
                                   });
    }

    std::int64_t bound_us_;
    std::int64_t end_us_;
    std::vector<outage> outages_;
};

} // namespace

rule_report check_configuration(recorded_history const& history,
                                milliseconds bound)
{
    findings found(rule::configuration_in_force, history);
    auto const all = collect<committed>(history);
    spread_check const check_spread(history, bound);
    check_gapless(all, found);
    check_operators(history, all, found);
    for (auto const& process : incarnations_of(history))
    {
        check_never_lower(process, found);
        check_known(process, all, found);
        for (auto const& commit : all)
            check_spread(process, commit, found);
    }
    return std::move(found).report();
}

} // namespace masticshift::history
