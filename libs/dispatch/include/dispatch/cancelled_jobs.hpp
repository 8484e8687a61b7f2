#ifndef MASTICSHIFT_DISPATCH_CANCELLED_JOBS_HPP
#define MASTICSHIFT_DISPATCH_CANCELLED_JOBS_HPP

#include <core/time.hpp>

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace masticshift::dispatch
{

/// Ids of the jobs that callers have cancelled. A job that was on its way, or
/// is submitted again, is refused as long as its id is in here.
class cancelled_jobs
{
public:
    /// Callers submit a job again seconds after a lost answer at the latest.
    static constexpr milliseconds retention{15'000};

    /// The oldest ids are dropped beyond this number: 2 MB of memory.
    static constexpr std::size_t capacity = 20'000;

    /// Records a cancellation that a caller has requested at this time. Returns
    /// whether the id is new.
    bool record(std::string const& id, time_point requested, time_point now);

    bool contains(std::string const& id, time_point now) const;

    /// Records that there was a job of this cancelled id.
    void record_known(std::string const& id);

    bool was_known(std::string const& id) const;

    std::size_t size() const
    {
        return requested_.size();
    }

private:
    void forget_old(time_point now);

    struct cancellation
    {
        /// When it was requested last.
        time_point requested{};
        bool known = false;
    };

    /// By id.
    std::unordered_map<std::string, cancellation> requested_;
    /// In the order of recording. An id may be in it more than once.
    std::deque<std::pair<time_point, std::string>> recorded_;
};

} // namespace masticshift::dispatch

#endif
