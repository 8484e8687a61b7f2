#ifndef MASTICSHIFT_PEER_LINK_RECONNECT_BACKOFF_HPP
#define MASTICSHIFT_PEER_LINK_RECONNECT_BACKOFF_HPP

#include <core/time.hpp>

#include <algorithm>
#include <random>

namespace masticshift::peer_link
{

/// Decides when a peer may be connected to again. The back-off doubles with
/// each consecutive failure; the actual pause is drawn at random between half
/// of the back-off and all of it.
class reconnect_backoff
{
public:
    reconnect_backoff(milliseconds first, milliseconds longest)
        : first_(first), longest_(longest)
    {
    }

    bool allowed(time_point now) const
    {
        return now >= next_attempt_;
    }

    template <class Generator>
    void failed(time_point now, Generator& generator)
    {
        ++failures_;
        pause_ = pause_.count() == 0 ? first_ : pause_ * 2;
        pause_ = std::min(pause_, longest_);
        using distribution = std::uniform_int_distribution<milliseconds::rep>;
        distribution draw(pause_.count() / 2, pause_.count());
        next_attempt_ = now + milliseconds(draw(generator));
    }

    void succeeded()
    {
        failures_ = 0;
        pause_ = milliseconds{0};
        next_attempt_ = time_point::min();
    }

    /// Failures since the last success.
    unsigned failures() const
    {
        return failures_;
    }

private:
    milliseconds first_;
    milliseconds longest_;
    milliseconds pause_{0};
    unsigned failures_ = 0;
    time_point next_attempt_ = time_point::min();
};

} // namespace masticshift::peer_link

#endif
