#ifndef MASTICSHIFT_DISPATCH_TRUST_TRACKER_HPP
#define MASTICSHIFT_DISPATCH_TRUST_TRACKER_HPP

#include <core/time.hpp>

namespace masticshift::dispatch
{

/// How much work an endpoint may get.
enum class endpoint_trust
{
    full,
    /// One task at a time, and only where no trusted endpoint has room.
    probation,
    /// None.
    ejected
};

char const* name_of(endpoint_trust trust);

/// What counts against an endpoint.
enum class endpoint_failure
{
    none,
    /// A run ended as failed.
    run_failed,
    /// A run stood still for too long.
    run_stuck,
    /// It refused an order, or could not be reached.
    order_refused,
    /// Several orders in a row had no answer.
    unanswered
};

char const* name_of(endpoint_failure failure);

/// Judges an endpoint by the ends of its runs and by its answers. The first
/// failed run puts it on probation; a second one in a row ejects it for a time
/// that doubles with each further one. One success restores full trust. Orders
/// without an answer count as a failure only when several in a row are: a few
/// get lost on their way.
class trust_tracker
{
public:
    endpoint_trust trust(time_point now) const;

    void succeeded();
    void failed(endpoint_failure reason, time_point now);

    /// An order was answered.
    void answered();

    /// An order had no answer. True if so many in a row had none that it counts
    /// as a failure.
    bool unanswered();

    unsigned failures_in_a_row() const;

    endpoint_failure last_failure() const;

private:
    endpoint_failure last_failure_ = endpoint_failure::none;
    unsigned failures_ = 0;
    unsigned unanswered_ = 0;
    time_point ejected_until_{};
};

} // namespace masticshift::dispatch

#endif
