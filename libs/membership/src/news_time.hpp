#ifndef MASTICSHIFT_MEMBERSHIP_NEWS_TIME_HPP
#define MASTICSHIFT_MEMBERSHIP_NEWS_TIME_HPP

#include <core/time.hpp>

namespace masticshift::membership
{

/// Whether `since`, unless it is `time_point::min()`, is less than `length`
/// ago.
inline bool is_recent(time_point since, milliseconds length, time_point now)
{
    return since != time_point::min() && now < since + length;
}

} // namespace masticshift::membership

#endif
