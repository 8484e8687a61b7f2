#ifndef MASTICSHIFT_PEER_LINK_SWEEP_CLOCK_HPP
#define MASTICSHIFT_PEER_LINK_SWEEP_CLOCK_HPP

#include <core/time.hpp>

namespace masticshift::peer_link
{

/// Pause between two checks of all connections of a client or a server.
constexpr milliseconds sweep_interval{100};

/// Tells whether this process itself was held up since the last check. What
/// the others sent meanwhile still waits in the sockets, so their silence
/// counts only from the next check on.
class sweep_clock
{
public:
    bool held_up(time_point now)
    {
        auto const gap = now - last_;
        auto const first = last_ == time_point{};
        last_ = now;
        return !first && gap > tolerated_gap;
    }

private:
    static constexpr auto tolerated_gap = 5 * sweep_interval;

    time_point last_{};
};

} // namespace masticshift::peer_link

#endif
