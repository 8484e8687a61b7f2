#include <dispatch/origin_watch.hpp>

#include <dispatch/resubmission_bounds.hpp>

#include <algorithm>

namespace masticshift::dispatch
{

void origin_watch::record(entry_identity const& origin, time_point wanted_at,
                          time_point now)
{
    auto& known = statements_[origin.address];
    if (known.incarnation > origin.incarnation)
        return;
    bool const interrupted = known.incarnation != origin.incarnation ||
                             now - known.wanted_at > longest_staleness;
    if (interrupted)
        known.unbroken_since = now;
    if (known.incarnation != origin.incarnation)
        known.wanted_at = {};
    known.incarnation = origin.incarnation;
    known.wanted_at = std::max(known.wanted_at, std::min(wanted_at, now));
}

bool origin_watch::is_current(entry_identity const& origin,
                              time_point now) const
{
    auto const* const known = find(origin);
    return known != nullptr && now - known->wanted_at <= longest_staleness;
}

bool origin_watch::wants_job(entry_identity const& origin,
                             time_point sent_after, time_point now) const
{
    auto const wanted_until = sent_after + longest_staleness;
    if (now <= wanted_until)
        return true;
    auto const* const known = find(origin);
    return known != nullptr && known->unbroken_since <= wanted_until &&
           now - known->wanted_at <= longest_staleness;
}

std::optional<duration> origin_watch::age(entry_identity const& origin,
                                          time_point now) const
{
    auto const* const known = find(origin);
    if (known == nullptr)
        return std::nullopt;
    return now - known->wanted_at;
}

origin_watch::statement const*
origin_watch::find(entry_identity const& origin) const
{
    auto const found = statements_.find(origin.address);
    return found != statements_.end() &&
                   found->second.incarnation == origin.incarnation
               ? &found->second
               : nullptr;
}

} // namespace masticshift::dispatch
