#ifndef MASTICSHIFT_DISPATCH_CRASH_HISTORY_HPP
#define MASTICSHIFT_DISPATCH_CRASH_HISTORY_HPP

#include <core/time.hpp>

#include <deque>
#include <string>
#include <unordered_map>

namespace masticshift::dispatch
{

/// Whether an endpoint has crashed while it ran a task.
enum class crash_evidence
{
    none,
    /// It has crashed, but the run may not have started or may have ended
    /// before.
    possible,
    certain
};

/// What the crashes under a task allow.
enum class crash_verdict
{
    may_run,
    /// The task crashes its endpoints.
    failed,
    /// It may do so, and must not be started again.
    unknown
};

/// Counts the endpoints that crashed while they ran a task. Outlives the job,
/// because its caller may submit it again.
class crash_history
{
public:
    /// `evidence` must not be `none`.
    void record(std::string const& task, crash_evidence evidence,
                time_point now);

    crash_verdict verdict(std::string const& task) const;

    /// Number of certain and possible crashes.
    int crashes(std::string const& task) const;

private:
    struct counts
    {
        int certain = 0;
        int possible = 0;
    };

    struct entry
    {
        time_point at;
        std::string task;
        crash_evidence evidence = crash_evidence::none;
    };

    void add(entry const& crash, int number);
    void forget_oldest();

    std::unordered_map<std::string, counts> counts_;
    /// The oldest first.
    std::deque<entry> recorded_;
};

} // namespace masticshift::dispatch

#endif
