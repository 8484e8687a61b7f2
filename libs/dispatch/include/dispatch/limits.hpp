#ifndef MASTICSHIFT_DISPATCH_LIMITS_HPP
#define MASTICSHIFT_DISPATCH_LIMITS_HPP

#include <core/time.hpp>

#include <algorithm>

namespace masticshift::dispatch
{

/// Limits of the deployment that decisions depend on.
struct dispatch_limits
{
    /// Length of the leases. At most what an endpoint grants.
    milliseconds longest_lease{1'000};
    /// Factor by which a run takes longer outside the preferred rack.
    /// `bounds.remote_factor`.
    double remote_factor = 1;
};

/// Length of the leases where an endpoint grants them for up to `granted`
/// (`bounds.hold_max_ms`).
///
/// The runs of an entry that has died are renewed for up to 550 ms. Also one
/// that no stop reaches must have ended, on a clock that is 2 % slow, when the
/// caller submits its job again, 1,300 ms after its connection broke.
constexpr milliseconds lease_within(milliseconds granted)
{
    constexpr milliseconds longest_useful{700};
    return std::min(granted, longest_useful);
}

} // namespace masticshift::dispatch

#endif
