#ifndef MASTICSHIFT_MEMBERSHIP_IS_RECENT_HPP
#define MASTICSHIFT_MEMBERSHIP_IS_RECENT_HPP

#include <core/time.hpp>

namespace masticshift::membership
{

/// Whether `since` is less than `length` ago. False for `time_point::min()`,
/// which stands for "never".
inline bool is_recent(time_point since, milliseconds length, time_point now)
{
    return since != time_point::min() && now < since + length;
}

} // namespace masticshift::membership

#endif
