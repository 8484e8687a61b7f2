#ifndef MASTICSHIFT_DISPATCH_ENDPOINT_HEALTH_HPP
#define MASTICSHIFT_DISPATCH_ENDPOINT_HEALTH_HPP

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

/// Judges an endpoint by the ends of its runs and by its answers. The first
/// failed run puts it on probation; a second one in a row ejects it for a time
/// that doubles with each further one. One success restores full trust. Orders
/// without an answer count as a failure only when several in a row are: a few
/// get lost on their way.
class endpoint_health
{
public:
    endpoint_trust trust(time_point now) const;

    void succeeded();
    void failed(time_point now);

    /// An order was answered, or was not.
    void answered();
    void unanswered(time_point now);

    unsigned failures_in_a_row() const;

private:
    unsigned failures_ = 0;
    unsigned unanswered_ = 0;
    time_point ejected_until_{};
};

} // namespace masticshift::dispatch

#endif
