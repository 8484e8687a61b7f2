#ifndef MASTICSHIFT_DISPATCH_OUTAGE_BACKOFF_HPP
#define MASTICSHIFT_DISPATCH_OUTAGE_BACKOFF_HPP

#include <core/time.hpp>

namespace masticshift::dispatch
{

/// Decides when an endpoint that does not respond is tried again.
///
/// The pause grows within an outage to 100 ms at most, so that its end is found
/// soon. Where outages follow each other, it doubles with each of them, as each
/// attempt costs a connection and the endpoint is soon lost again.
class outage_backoff
{
public:
    /// Returns the pause after a failed call.
    milliseconds failed(time_point now);

    void answered(time_point now);

private:
    unsigned failures_ = 0;
    time_point failing_since_{};
    /// Outages that followed each other, and the end of the last one.
    unsigned outages_ = 0;
    time_point outage_ended_{};
};

} // namespace masticshift::dispatch

#endif
