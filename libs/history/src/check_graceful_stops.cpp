#include "call_index.hpp"
#include "incarnation.hpp"
#include "report_builder.hpp"
#include "rule_checks.hpp"

#include <algorithm>

namespace masticshift::history
{

namespace
{

/// Whether the process started a graceful stop that no outage interrupted.
bool stops_gracefully(incarnation const& process,
                      std::vector<outage> const& outages)
{
    if (!process.closed.origin)
        return false;
    auto const closed_us = process.closed.origin->us;
    return std::ranges::none_of(outages,
                                [&](outage const& each)
                                {
                                    return each.entry == process.source &&
                                           each.from < process.end_us &&
                                           each.to > closed_us;
                                });
}

void check_end(incarnation const& process, report_builder& report)
{
    if (!process.stop.origin)
        report.add_violation("graceful stop of " + std::string(process.source) +
                                 " did not finish",
                             {process.closed.origin});
    else if (process.stop.content->cut > 0)
        report.add_violation(std::string(process.source) + " aborted " +
                                 std::to_string(process.stop.content->cut) +
                                 " calls when it stopped",
                             {process.closed.origin, process.stop.origin});
}

/// Whether the call was sent to the process before it closed admission.
bool was_sent_before_closing(incarnation const& process,
                             typed_record<call_sent> sent)
{
    return sent.content->entry == process.caller_address &&
           sent.origin->us >= process.start_us &&
           sent.origin->us < process.closed.origin->us;
}

void check_calls(incarnation const& process, call_index const& calls,
                 report_builder& report)
{
    for (auto const& [key, call] : calls)
    {
        if (!call.sent.origin || !was_sent_before_closing(process, call.sent))
            continue;
        report.add_examined();
        if (call.broken.origin &&
            call.broken.origin->us >= process.closed.origin->us)
            report.add_violation(
                "call for " + call.sent.content->id +
                    " was aborted by a graceful stop",
                {call.sent.origin, process.closed.origin, call.broken.origin});
    }
}

} // namespace

rule_report check_graceful_stops(recorded_history const& history)
{
    report_builder report(rule::graceful_stop, history);
    auto const outages = outages_of(history);
    auto const calls = calls_of(history);
    for (auto const& process : incarnations_of(history))
    {
        if (!stops_gracefully(process, outages))
            continue;
        report.add_examined();
        check_end(process, report);
        check_calls(process, calls, report);
    }
    return std::move(report).build();
}

} // namespace masticshift::history
