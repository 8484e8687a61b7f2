#ifndef MASTICSHIFT_CORE_TIME_HPP
#define MASTICSHIFT_CORE_TIME_HPP

#include <chrono>

namespace masticshift
{

/// Clock for deadlines and timeouts. Functions whose decisions depend on the
/// time do not read the clock but take its current time as an argument.
using steady_clock = std::chrono::steady_clock;
using time_point = steady_clock::time_point;
using duration = steady_clock::duration;
using std::chrono::milliseconds;

/// Milliseconds as a floating-point number, for logs and answers.
inline double to_milliseconds(duration length)
{
    return std::chrono::duration<double, std::milli>(length).count();
}

} // namespace masticshift

#endif
