#ifndef MASTICSHIFT_CORE_TIME_HPP
#define MASTICSHIFT_CORE_TIME_HPP

#include <chrono>
#include <ctime>

namespace masticshift
{

/// Clock for deadlines and timeouts. Unlike std::chrono::steady_clock it also
/// counts the time during which the VM is suspended: what others did meanwhile
/// must not look recent. Functions whose decisions depend on the time do not
/// read the clock but take its current time as an argument.
class steady_clock
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<steady_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept
    {
        std::timespec read{};
        ::clock_gettime(CLOCK_BOOTTIME, &read);
        return time_point(std::chrono::seconds(read.tv_sec) +
                          std::chrono::nanoseconds(read.tv_nsec));
    }
};

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
