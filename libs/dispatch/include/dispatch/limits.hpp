#ifndef MASTICSHIFT_DISPATCH_LIMITS_HPP
#define MASTICSHIFT_DISPATCH_LIMITS_HPP

#include <core/time.hpp>

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
    /// Longest lease that an endpoint grants, by its own clock.
    milliseconds longest_grant{1'000};
};

} // namespace masticshift::dispatch

#endif
