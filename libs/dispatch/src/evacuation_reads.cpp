#include <dispatch/evacuation_reads.hpp>

#include <algorithm>

namespace masticshift::dispatch
{

namespace
{

/// After a longer pause the list is read again. An entry reads it at least
/// every 1.2 s and must not start anything 5 s after a write.
constexpr milliseconds longest_pause{1'000};

/// Reads that fail for this long are taken for an outage of the store. A slow
/// store responds within 240 ms.
constexpr milliseconds outage_after{500};

/// A watch call ends within 1,200 ms.
constexpr milliseconds overdue_after{1'500};

} // namespace

bool evacuation_reads::is_paused(time_point now) const
{
    return observed_ && now - *observed_ > longest_pause;
}

void evacuation_reads::observe(time_point now)
{
    if (is_paused(now))
    {
        resumed_ = now;
        failing_since_.reset();
    }
    observed_ = now;
}

void evacuation_reads::record_read(time_point begun)
{
    last_read_ = std::max(last_read_.value_or(begun), begun);
    failing_since_.reset();
}

void evacuation_reads::record_failure(time_point begun)
{
    if (begun >= resumed_ && !failing_since_)
        failing_since_ = begun;
}

bool evacuation_reads::is_needed() const
{
    return !last_read_ || *last_read_ < resumed_;
}

bool evacuation_reads::is_usable(time_point now) const
{
    if (!last_read_ || is_paused(now))
        return false;
    bool const outage = failing_since_ && now - *failing_since_ >= outage_after;
    return !is_needed() || outage;
}

bool evacuation_reads::is_overdue(time_point now) const
{
    return is_needed() || now - *last_read_ > overdue_after;
}

} // namespace masticshift::dispatch
