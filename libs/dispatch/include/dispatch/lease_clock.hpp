#ifndef MASTICSHIFT_DISPATCH_LEASE_CLOCK_HPP
#define MASTICSHIFT_DISPATCH_LEASE_CLOCK_HPP

#include <core/time.hpp>

#include <cstdint>
#include <optional>

namespace masticshift::dispatch
{

/// Translates between the clock of an endpoint, by which leases end, and the
/// clock of this process.
class lease_clock
{
public:
    /// Records the endpoint's clock from a response.
    void observe(std::int64_t endpoint_ms, time_point received);

    /// Discards the clock, as the endpoint has restarted.
    void reset();

    bool known() const;

    /// End of a lease of this length by the endpoint's clock. Needs a known
    /// clock.
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

    std::optional<observation> latest_;
};

} // namespace masticshift::dispatch

#endif
