#ifndef MASTICSHIFT_DISPATCH_CRASH_HISTORY_HPP
#define MASTICSHIFT_DISPATCH_CRASH_HISTORY_HPP

#include <core/time.hpp>

#include <deque>
#include <string>
#include <unordered_map>

namespace masticshift::dispatch
{

/// What the crash of an endpoint says about a task that it ran.
enum class crash_evidence
{
    /// There was no crash.
    none,
    /// The run may not have started, or may have ended before.
    possible,
    /// It had been running for a while when another task started there.
    bystander,
    /// It may have been this task or another one.
    shared,
    /// It had just started, and no other task there had.
    sole
};

char const* name_of(crash_evidence evidence);

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
    /// Does nothing for `none` and `bystander`.
    void record(std::string const& task, crash_evidence evidence,
                time_point now);

    crash_verdict verdict(std::string const& task) const;

    /// Number of crashes, also those that are only possible.
    int crashes(std::string const& task) const;

private:
    struct counts
    {
        int possible = 0;
        int shared = 0;
        int sole = 0;
        /// The last one that was not just possible.
        crash_evidence last = crash_evidence::none;
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
