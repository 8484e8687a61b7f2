#include "crash_history.hpp"

#include <array>
#include <utility>

namespace masticshift::dispatch
{

namespace
{

/// After the first crash nothing is placed beside a task any more, so that the
/// second one shows whether it is the cause.
constexpr int min_failed = 2;

/// Number of crashes after which a task is not started again.
constexpr int max_crashes = 3;

/// Callers submit a job again 1.3 s after a lost answer.
constexpr milliseconds retention{15'000};

constexpr std::size_t max_recorded = 10'000;

constexpr std::array evidence_names{"none", "crashed_unconfirmed",
                                    "crashed_as_bystander",
                                    "crashed_with_others", "crashed"};

} // namespace

char const* name_of(crash_evidence evidence)
{
    return evidence_names.at(static_cast<std::size_t>(evidence));
}

void crash_history::record(std::string const& task, crash_evidence evidence,
                           time_point now)
{
    if (evidence == crash_evidence::none ||
        evidence == crash_evidence::bystander)
        return;
    while (!recorded_.empty() && (now - recorded_.front().at > retention ||
                                  recorded_.size() >= max_recorded))
        forget_oldest();
    recorded_.push_back({now, task, evidence});
    add(recorded_.back(), 1);
    if (evidence != crash_evidence::possible)
        counts_.at(task).last = evidence;
}

crash_verdict crash_history::verdict(std::string const& task) const
{
    auto const found = counts_.find(task);
    if (found == counts_.end())
        return crash_verdict::may_run;
    auto const& counted = found->second;
    bool const failed = counted.last == crash_evidence::sole &&
                        counted.sole + counted.shared >= min_failed;
    if (failed)
        return crash_verdict::failed;
    return crashes(task) >= max_crashes ? crash_verdict::unknown
                                        : crash_verdict::may_run;
}

int crash_history::crashes(std::string const& task) const
{
    auto const found = counts_.find(task);
    if (found == counts_.end())
        return 0;
    auto const& counted = found->second;
    return counted.possible + counted.shared + counted.sole;
}

void crash_history::add(entry const& crash, int number)
{
    auto& counted = counts_[crash.task];
    switch (crash.evidence)
    {
    case crash_evidence::none:
    case crash_evidence::bystander:
        return;
    case crash_evidence::possible:
        counted.possible += number;
        return;
    case crash_evidence::shared:
        counted.shared += number;
        return;
    case crash_evidence::sole:
        counted.sole += number;
        return;
    }
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
