#ifndef MASTICSHIFT_PEER_LINK_STALL_DETECTOR_HPP
#define MASTICSHIFT_PEER_LINK_STALL_DETECTOR_HPP

#include <core/time.hpp>

namespace masticshift::peer_link
{

/// Pause between two checks of all connections of a client or a server.
constexpr milliseconds sweep_interval{100};

/// Detects that this process itself was stalled since the last check. Data that
/// peers sent meanwhile is still unread in the socket buffers, so the client or
/// server skips this check instead of timing out connections.
class stall_detector
{
public:
    bool stalled(time_point now)
    {
        auto const gap = now - last_check_;
        auto const first = last_check_ == time_point{};
        last_check_ = now;
        return !first && gap > tolerated_gap;
    }

private:
    static constexpr auto tolerated_gap = 5 * sweep_interval;

    time_point last_check_{};
};

} // namespace masticshift::peer_link

#endif
