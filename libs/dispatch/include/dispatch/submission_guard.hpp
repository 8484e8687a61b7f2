#ifndef MASTICSHIFT_DISPATCH_SUBMISSION_GUARD_HPP
#define MASTICSHIFT_DISPATCH_SUBMISSION_GUARD_HPP

#include <core/time.hpp>
#include <dispatch/peer_types.hpp>
#include <dispatch/resubmission_bounds.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace masticshift::dispatch
{

/// Tells which submissions of other entries are still wanted.
///
/// An entry that gives up a job withdraws it, possibly over a newer connection,
/// so that the withdrawal overtakes the submission. A withdrawn submission is
/// remembered for as long as it could still be taken. One that was on its way
/// for longer is not taken at all: its age is bounded by the newest reading of
/// the receiver's clock that its entry had.
class submission_guard
{
public:
    /// An entry gives up a connection after this time without a response.
    static constexpr milliseconds longest_age = longest_staleness;

    /// The limit for an entry that sends no heartbeats yet: its first one with
    /// a newer reading has to arrive within `longest_staleness`.
    static constexpr milliseconds longest_first_age{200};

    /// Whether a submission that carries this reading of the clock of `self` is
    /// too old to be taken, or may be. `origin_current`: heartbeats of its
    /// entry arrive in time.
    static bool is_outdated(clock_reading const& last_reading,
                            entry_identity const& self, bool origin_current,
                            time_point now);

    /// Remembers the withdrawal of a submission and of earlier ones of the same
    /// job by the same origin.
    void record_withdrawal(std::string const& origin, std::string const& job,
                           std::int64_t submission, time_point now);

    bool is_withdrawn(std::string const& origin, std::string const& job,
                      std::int64_t submission, time_point now);

    /// Number of withdrawals that are remembered.
    std::size_t size() const
    {
        return withdrawn_.size();
    }

private:
    /// Origin and id of a job.
    using job_key = std::pair<std::string, std::string>;

    struct withdrawal
    {
        std::int64_t submission = 0;
        time_point recorded{};
    };

    void forget_old(time_point now);

    std::map<job_key, withdrawal> withdrawn_;
    /// In the order of their recording. A job may be in it more than once.
    std::deque<std::pair<time_point, job_key>> recorded_;
};

} // namespace masticshift::dispatch

#endif
