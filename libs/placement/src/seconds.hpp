#ifndef MASTICSHIFT_PLACEMENT_SECONDS_HPP
#define MASTICSHIFT_PLACEMENT_SECONDS_HPP

#include <core/time.hpp>

namespace masticshift::placement
{

inline double to_seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

inline duration from_seconds(double seconds)
{
    using floating = std::chrono::duration<double>;
    return std::chrono::duration_cast<duration>(floating(seconds));
}

} // namespace masticshift::placement

#endif
