#include "incarnation.hpp"
#include "report_builder.hpp"
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
using commits = std::vector<typed_record<committed>>;

void check_monotonic(incarnation const& process, report_builder& report)
{
    typed_record<configuration_in_force> highest;
    for (auto const& next : process.in_force)
    {
        report.add_examined();
        if (highest.origin &&
            next.content->revision < highest.content->revision)
            report.add_violation("revision in force went from " +
                                     std::to_string(highest.content->revision) +
                                     " to " +
                                     std::to_string(next.content->revision),
                                 {highest.origin, next.origin});
        else
            highest = next;
    }
}

void check_consecutive(commits const& all, report_builder& report)
{
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        report.add_examined();
        auto const previous = i == 0 ? 0 : all[i - 1].content->revision;
        if (all[i].content->revision != previous + 1)
            report.add_violation(
                "revision " + std::to_string(all[i].content->revision) +
                    " was committed after " + std::to_string(previous),
                {all[i].origin});
    }
}

/// Checks that each revision in force at an entry was committed.
void check_committed(incarnation const& process, commits const& all,
                     report_builder& report)
{
    if (all.empty())
        return;
    std::unordered_set<std::uint64_t> revisions;
    for (auto const& commit : all)
        revisions.insert(commit.content->revision);
    for (auto const& in_force : process.in_force)
    {
        if (!revisions.contains(in_force.content->revision))
            report.add_violation(
                "revision " + std::to_string(in_force.content->revision) +
                    " is in force and was never committed",
                {in_force.origin});
    }
}

/// Checks the responses to operators: a change that was accepted is in the
/// table under the revision named, and one that was refused is not.
void check_operator_responses(recorded_history const& history,
                              commits const& all, report_builder& report)
{
    std::unordered_map<std::string_view, typed_record<committed>> by_change;
    for (auto const& commit : all)
        by_change.try_emplace(commit.content->change_id, commit);
    for (auto const& response : collect<applied>(history))
    {
        report.add_examined();
        auto const& change = *response.content;
        auto const commit = by_change.find(change.change_id);
        bool const took_effect = commit != by_change.end();
        if (change.code == result_code::ok &&
            (!took_effect ||
             commit->second.content->revision != change.revision))
            report.add_violation(
                "accepted change " + change.change_id +
                    " was not committed under the revision named",
                {response.origin});
        if (change.code == result_code::revision_conflict && took_effect)
            report.add_violation("refused change " + change.change_id +
                                     " took effect",
                                 {commit->second.origin, response.origin});
    }
}

class propagation_check
{
public:
    propagation_check(recorded_history const& history, milliseconds bound)
        : bound_us_(microseconds(bound).count()),
          end_us_(end_of(history)),
          outages_(outages_of(history))
    {
    }

    void operator()(incarnation const& process, typed_record<committed> commit,
                    report_builder& report) const
    {
        auto const due = due_time(process, commit.origin->us);
        if (due > std::min(process.end_us, end_us_) ||
            is_in_outage(process, due))
            return;
        report.add_examined();
        auto const in_time = std::ranges::any_of(
            process.in_force,
            [&](auto const& in_force)
            {
                return in_force.origin->us <= due &&
                       in_force.content->revision >= commit.content->revision;
            });
        if (!in_time)
            report.add_violation("revision " +
                                     std::to_string(commit.content->revision) +
                                     " was not in force within the bound at " +
                                     std::string(process.source),
                                 {commit.origin, process.first});
    }

private:
    /// The time by which the entry must have the revision in force. The bound
    /// counts from the commit, the start of the process or the end of an outage
    /// of the entry, whichever is latest.
    std::int64_t due_time(incarnation const& process, std::int64_t us) const
    {
        auto from = std::max(us, process.start_us);
        for (auto const& each : outages_)
        {
            if (each.entry == process.source && each.from <= from + bound_us_ &&
                each.to > from && each.to <= end_us_)
                from = each.to;
        }
        return from + bound_us_;
    }

    bool is_in_outage(incarnation const& process, std::int64_t us) const
    {
        return std::ranges::any_of(outages_,
                                   [&](outage const& each)
                                   {
                                       return each.entry == process.source &&
                                              each.from <= us && each.to >= us;
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
    report_builder report(rule::configuration_in_force, history);
    auto const all = collect<committed>(history);
    propagation_check const check_propagation(history, bound);
    check_consecutive(all, report);
    check_operator_responses(history, all, report);
    for (auto const& process : incarnations_of(history))
    {
        check_monotonic(process, report);
        check_committed(process, all, report);
        for (auto const& commit : all)
            check_propagation(process, commit, report);
    }
    return std::move(report).build();
}

} // namespace masticshift::history
