#ifndef MASTICSHIFT_DISPATCH_CRASH_HISTORY_HPP
#define MASTICSHIFT_DISPATCH_CRASH_HISTORY_HPP

#include <core/time.hpp>

#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace masticshift::dispatch
{

/// Counts the endpoints that crashed while they ran a task. Outlives the job,
/// because its caller may submit it again.
class crash_history
{
public:
    /// Adds a crash and returns the number of crashes under this task.
    int record(std::string const& task, time_point now);

    int crashes(std::string const& task) const;

    /// Whether this many crashes are enough to give the task up.
    static bool is_limit(int crashes);

private:
    void forget_oldest();

    std::unordered_map<std::string, int> crashes_;
    /// The oldest first.
    std::deque<std::pair<time_point, std::string>> recorded_;
};

} // namespace masticshift::dispatch

#endif
