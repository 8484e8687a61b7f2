#ifndef MASTICSHIFT_DISPATCH_ORIGIN_WATCH_HPP
#define MASTICSHIFT_DISPATCH_ORIGIN_WATCH_HPP

#include <core/time.hpp>
#include <dispatch/peer_types.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace masticshift::dispatch
{

/// Tells whether the jobs of other entries are still wanted.
///
/// A heartbeat says that they were at the time of the newest reading of the
/// receiver's clock that its entry had. The time of its arrival says nothing:
/// it may have been held up, or have waited while this process was paused.
class origin_watch
{
public:
    /// Records that all jobs of the entry that it has not withdrawn were wanted
    /// at `wanted_at`.
    void record(entry_identity const& origin, time_point wanted_at,
                time_point now);

    /// Whether the last such time is recent enough for the jobs to be wanted.
    bool is_current(entry_identity const& origin, time_point now) const;

    /// Whether a job that was sent after `sent_after` is wanted: since then its
    /// entry has never been unheard for too long.
    bool wants_job(entry_identity const& origin, time_point sent_after,
                   time_point now) const;

    /// How long ago the jobs of the entry were last known to be wanted.
    std::optional<duration> age(entry_identity const& origin,
                                time_point now) const;

private:
    struct statement
    {
        std::int64_t incarnation = 0;
        time_point wanted_at{};
        /// Start of the present sequence of timely heartbeats.
        time_point unbroken_since{};
    };

    statement const* find(entry_identity const& origin) const;

    /// By address.
    std::map<std::string, statement> statements_;
};

} // namespace masticshift::dispatch

#endif
