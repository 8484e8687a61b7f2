#include "crash_history.hpp"

namespace masticshift::dispatch
{

namespace
{

/// The first crash may be that of a neighbour on the endpoint; a task runs
/// alone after it.
constexpr int max_crashes = 2;

/// Callers submit a job again 1.3 s after a lost answer.
constexpr milliseconds retention{15'000};

constexpr std::size_t max_recorded = 10'000;

} // namespace

int crash_history::record(std::string const& task, time_point now)
{
    while (!recorded_.empty() && (now - recorded_.front().first > retention ||
                                  recorded_.size() >= max_recorded))
        forget_oldest();
    recorded_.emplace_back(now, task);
    return ++crashes_[task];
}

int crash_history::crashes(std::string const& task) const
{
    auto const found = crashes_.find(task);
    return found == crashes_.end() ? 0 : found->second;
}

bool crash_history::is_limit(int crashes)
{
    return crashes >= max_crashes;
}

void crash_history::forget_oldest()
{
    auto const found = crashes_.find(recorded_.front().second);
    if (--found->second == 0)
        crashes_.erase(found);
    recorded_.pop_front();
}

} // namespace masticshift::dispatch
