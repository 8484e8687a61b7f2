#include <dispatch/evacuation_reads.hpp>

#include <algorithm>

namespace masticshift::dispatch
{

namespace
{

/// After a longer pause the list is read again. An entry reads it at least
/// every 1.2 s and must not start anything 5 s after a write.
constexpr milliseconds longest_pause{1'000};

/// Reads that fail for this long, from the beginning of the first to that of
/// the last one, are taken for an outage of the store. One that fails is none.
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
        last_failure_.reset();
    }
    observed_ = now;
}

void evacuation_reads::record_read(time_point begun)
{
    last_read_ = std::max(last_read_.value_or(begun), begun);
    responded_ = std::max(begun, observed_.value_or(begun));
    failing_since_.reset();
    last_failure_.reset();
}

void evacuation_reads::record_failure(time_point begun)
{
    if (begun < resumed_)
        return;
    if (!failing_since_)
        failing_since_ = begun;
    last_failure_ = begun;
}

bool evacuation_reads::is_needed() const
{
    return !last_read_ || *last_read_ < resumed_;
}

bool evacuation_reads::is_usable(time_point now) const
{
    if (!last_read_ || is_paused(now))
        return false;
    bool const outage = failing_since_ && last_failure_ &&
                        *last_failure_ - *failing_since_ >= outage_after;
    return !is_needed() || outage;
}

bool evacuation_reads::is_overdue(time_point now) const
{
    return is_needed() || now - responded_ > overdue_after;
}

} // namespace masticshift::dispatch
