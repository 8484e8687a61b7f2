#ifndef MASTICSHIFT_DISPATCH_TRUST_TRACKER_HPP
#define MASTICSHIFT_DISPATCH_TRUST_TRACKER_HPP

#include <core/time.hpp>

namespace masticshift::dispatch
{

/// How much work an endpoint may get.
enum class endpoint_trust
{
    full,
    /// One task at a time, and only if no fully trusted endpoint has capacity.
    probation,
    /// No work.
    ejected
};

char const* name_of(endpoint_trust trust);

/// Why an endpoint lost trust.
enum class endpoint_failure
{
    none,
    /// A run ended as failed.
    run_failed,
    /// A run made no progress for too long.
    run_stuck,
    /// It refused an order, or could not be reached.
    order_refused,
    /// Several orders in a row got no response.
    unanswered
};

char const* name_of(endpoint_failure failure);

/// Rates the trust in an endpoint by its failures. The first failure puts it on
/// probation; a second one in a row ejects it for a time that doubles with each
/// further one. One success restores full trust. Orders without a response
/// count as a failure only if there are several in a row, as single messages
/// get lost.
class trust_tracker
{
public:
    endpoint_trust trust(time_point now) const;

    void succeeded();
    void failed(endpoint_failure reason, time_point now);

    /// Records an order that got a response.
    void answered();

    /// Records an order without a response. Returns true if there were so many
    /// in a row since the last failure that they count as another one.
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
