#include "crash_history.hpp"

#include <utility>

namespace masticshift::dispatch
{

namespace
{

/// The first crash may be that of a neighbour on the endpoint; a task runs
/// alone after it.
constexpr int max_certain = 2;

/// A start that was not confirmed may not have reached the endpoint.
constexpr int max_crashes = 3;

/// Callers submit a job again 1.3 s after a lost answer.
constexpr milliseconds retention{15'000};

constexpr std::size_t max_recorded = 10'000;

} // namespace

void crash_history::record(std::string const& task, crash_evidence evidence,
                           time_point now)
{
    while (!recorded_.empty() && (now - recorded_.front().at > retention ||
                                  recorded_.size() >= max_recorded))
        forget_oldest();
    recorded_.push_back({now, task, evidence});
    add(recorded_.back(), 1);
}

crash_verdict crash_history::verdict(std::string const& task) const
{
    auto const found = counts_.find(task);
    if (found == counts_.end())
        return crash_verdict::may_run;
    if (found->second.certain >= max_certain)
        return crash_verdict::failed;
    return crashes(task) >= max_crashes ? crash_verdict::unknown
                                        : crash_verdict::may_run;
}

int crash_history::crashes(std::string const& task) const
{
    auto const found = counts_.find(task);
    return found == counts_.end()
               ? 0
               : found->second.certain + found->second.possible;
}

void crash_history::add(entry const& crash, int number)
{
    auto& counted = counts_[crash.task];
    if (crash.evidence == crash_evidence::certain)
        counted.certain += number;
    else
        counted.possible += number;
}

void crash_history::forget_oldest()
{
    auto const oldest = std::move(recorded_.front());
    recorded_.pop_front();
    add(oldest, -1);
    if (crashes(oldest.task) == 0)
        counts_.erase(oldest.task);
}

} // namespace masticshift::dispatch
