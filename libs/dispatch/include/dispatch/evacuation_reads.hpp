#ifndef MASTICSHIFT_DISPATCH_EVACUATION_READS_HPP
#define MASTICSHIFT_DISPATCH_EVACUATION_READS_HPP

#include <core/time.hpp>

#include <optional>

namespace masticshift::dispatch
{

/// Decides from the reads of the list of evacuated data centres whether tasks
/// may be started by it: not before the first read, and after a pause of the
/// process not before the next one. While the store is away, the last list
/// applies.
class evacuation_reads
{
public:
    /// To be called every few milliseconds. A long gap is a pause.
    void observe(time_point now);

    /// The list was read, from the store or a peer, by a call made at `begun`.
    void record_read(time_point begun);

    /// A call made at `begun` has failed, also through a peer.
    void record_failure(time_point begun);

    /// Whether the list may be relied on.
    bool is_usable(time_point now) const;

    /// Whether the list was not read since the start or the last pause.
    bool is_needed() const;

    /// Whether reads have succeeded for so long no more that the list of a peer
    /// is likely to be newer.
    bool is_overdue(time_point now) const;

private:
    bool is_paused(time_point now) const;

    std::optional<time_point> observed_;
    /// When the call of the last successful read was made.
    std::optional<time_point> last_read_;
    /// End of the last pause. Reads from before it do not count.
    time_point resumed_ = time_point::min();
    /// When the first of the failed calls since the last read was made.
    std::optional<time_point> failing_since_;
    /// When the last of them was made.
    std::optional<time_point> last_failure_;
    /// When the last successful read was known to have ended. A watch call ends
    /// up to a second after it was made.
    time_point responded_{};
};

} // namespace masticshift::dispatch

#endif
