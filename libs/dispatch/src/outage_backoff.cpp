#include <dispatch/outage_backoff.hpp>

#include <algorithm>

namespace masticshift::dispatch
{

namespace
{

/// Pause after the first failure of an outage. It doubles with each further
/// one.
constexpr milliseconds first_pause{10};
constexpr milliseconds longest_pause{100};

/// The same for the second of several outages. It is the same after each
/// failure, and doubles with each further outage.
constexpr milliseconds first_repeated_pause{200};
constexpr milliseconds longest_repeated_pause{1'600};

constexpr unsigned most_doublings = 4;

/// A few lost responses are no outage. With three in ten lost, lists fail for
/// this long once in five hundred times.
constexpr milliseconds shortest_outage{400};

/// Outages with a longer time between them have nothing to do with each other.
constexpr milliseconds stable_after{3'000};

milliseconds doubled(milliseconds first, unsigned times, milliseconds most)
{
    return std::min(first * (1 << std::min(times, most_doublings)), most);
}

} // namespace

milliseconds outage_backoff::failed(time_point now)
{
    if (failures_ == 0)
    {
        failing_since_ = now;
        if (now - outage_ended_ > stable_after)
            outages_ = 0;
    }
    ++failures_;
    if (outages_ == 0)
        return doubled(first_pause, failures_ - 1, longest_pause);
    return doubled(first_repeated_pause, outages_ - 1, longest_repeated_pause);
}

void outage_backoff::answered(time_point now)
{
    if (failures_ > 0 && now - failing_since_ >= shortest_outage)
    {
        ++outages_;
        outage_ended_ = now;
    }
    failures_ = 0;
}

} // namespace masticshift::dispatch
