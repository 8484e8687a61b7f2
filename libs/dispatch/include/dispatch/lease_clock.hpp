#ifndef MASTICSHIFT_DISPATCH_LEASE_CLOCK_HPP
#define MASTICSHIFT_DISPATCH_LEASE_CLOCK_HPP

#include <core/time.hpp>
#include <dispatch/resubmission_bounds.hpp>

#include <cstdint>
#include <optional>

namespace masticshift::dispatch
{

/// Translates between the clock of an endpoint, by which leases end, and the
/// clock of this process.
class lease_clock
{
public:
    /// Records the endpoint's clock from a response to a call, and when the
    /// call was sent, if that is known.
    void observe(std::int64_t endpoint_ms, time_point received,
                 std::optional<time_point> sent = {});

    /// Discards the clock, as the endpoint has restarted.
    void reset();

    bool known() const;

    /// End of a lease by the endpoint's clock that is not longer than this, but
    /// may be shorter if the clock was read long ago. Needs a known clock.
    std::int64_t lease_end(time_point now, milliseconds length) const;

    /// Time from which the endpoint's clock is certainly past `endpoint_ms`.
    /// Needs a known clock.
    time_point time_when_passed(std::int64_t endpoint_ms) const;

private:
    struct observation
    {
        std::int64_t endpoint_ms = 0;
        time_point received;
    };

    /// An endpoint's clock may run 2 % slow.
    static constexpr double slowest_rate = slowest_clock_percent / 100.0;

    std::optional<observation> latest_;
    /// First observation, with the time at which its call was sent.
    std::optional<observation> first_;
    /// The clock runs at least at this rate, which does not change.
    double least_rate_ = slowest_rate;
};

} // namespace masticshift::dispatch

#endif
