#ifndef MASTICSHIFT_GATEWAY_INPUT_DELAY_HPP
#define MASTICSHIFT_GATEWAY_INPUT_DELAY_HPP

#include <core/time.hpp>

#include <algorithm>
#include <optional>

namespace masticshift::gateway
{

/// Bounds how long input that is read now may have waited in the operating
/// system, from the pauses between the turns of the event loop.
class input_delay
{
public:
    /// To be called every few milliseconds.
    void observe(time_point now)
    {
        if (last_ && now - *last_ > longest_turn)
        {
            paused_since_ = *last_;
            resumed_ = now;
        }
        last_ = now;
    }

    /// Longest time for which input that is read now may have waited.
    duration longest(time_point now) const
    {
        if (!last_)
            return {};
        auto const since_last = now - *last_;
        if (!resumed_ || now - *resumed_ > drain_time)
            return since_last;
        return std::max(since_last, now - paused_since_);
    }

private:
    /// A longer time between two calls of `observe` means that the process was
    /// paused.
    static constexpr milliseconds longest_turn{300};

    /// After a pause, the input that came in it is read within this time.
    static constexpr milliseconds drain_time{250};

    std::optional<time_point> last_;
    time_point paused_since_{};
    std::optional<time_point> resumed_;
};

} // namespace masticshift::gateway

#endif
