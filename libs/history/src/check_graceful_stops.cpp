#include "call_index.hpp"
#include "findings.hpp"
#include "incarnation.hpp"
#include "rule_checks.hpp"

#include <algorithm>

namespace masticshift::history
{

namespace
{

/// Whether the process was told to stop, and not killed while it did.
bool stops_gracefully(incarnation const& process,
                      std::vector<outage> const& outages)
{
    if (!process.closed.at)
        return false;
    auto const closed_us = process.closed.at->us;
    return std::ranges::none_of(outages,
                                [&](outage const& cut)
                                {
                                    return cut.entry == process.source &&
                                           cut.from < process.end_us &&
                                           cut.to > closed_us;
                                });
}

void check_end(incarnation const& process, findings& found)
{
    if (!process.stop.at)
        found.violate("graceful stop of " + std::string(process.source) +
                          " did not end",
                      {process.closed.at});
    else if (process.stop.what->cut > 0)
        found.violate(std::string(process.source) + " cut " +
                          std::to_string(process.stop.what->cut) +
                          " requests when it stopped",
                      {process.closed.at, process.stop.at});
}

/// Whether the process took the call before it closed admission.
bool took(incarnation const& process, seen<call_sent> sent)
{
    return sent.what->entry == process.caller_address &&
           sent.at->us >= process.start_us &&
           sent.at->us < process.closed.at->us;
}

void check_calls(incarnation const& process, call_index const& calls,
                 findings& found)
{
    for (auto const& [key, call] : calls)
    {
        if (!call.sent.at || !took(process, call.sent))
            continue;
        found.examine();
        if (call.broken.at && call.broken.at->us >= process.closed.at->us)
            found.violate("call for " + call.sent.what->id +
                              " was cut by a graceful stop",
                          {call.sent.at, process.closed.at, call.broken.at});
    }
}

} // namespace

rule_report check_graceful_stops(recorded_history const& history)
{
    findings found(rule::graceful_stop, history);
    auto const outages = outages_of(history);
    auto const calls = calls_of(history);
    for (auto const& process : incarnations_of(history))
    {
        if (!stops_gracefully(process, outages))
            continue;
        found.examine();
        check_end(process, found);
        check_calls(process, calls, found);
    }
    return std::move(found).report();
}

} // namespace masticshift::history
