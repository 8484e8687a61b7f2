#ifndef MASTICSHIFT_DISPATCH_TOKEN_SEARCH_HPP
#define MASTICSHIFT_DISPATCH_TOKEN_SEARCH_HPP

#include <core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace masticshift::dispatch
{

/// Decides when the dispatcher of a cell raises its token after endpoints have
/// rejected it, and to which claim. An endpoint does not tell which token it
/// has seen, so claims are tried until one is accepted.
///
/// The distance from the rejected claim grows by three quarters with each try.
/// The accepted claim is then beyond the seen one by at most three quarters of
/// their initial difference. Two dispatchers that cannot see each other
/// therefore come closer with each search, and their tokens rise by four times
/// their initial difference at most, and by one claim for each search after
/// that. With a factor of two, the difference would never shrink.
class token_search
{
public:
    /// Tries begin at this interval while no endpoint has accepted a token, so
    /// that all 28 bits of a claim number are searched within a second.
    static constexpr milliseconds try_interval{20};

    /// The next search begins this long after the former one: another
    /// dispatcher that has outranked this one is outranked again no sooner.
    static constexpr milliseconds search_interval{300};

    /// A search ends when no rejection has arrived for this long.
    static constexpr milliseconds response_time{100};

    /// Number of endpoints that reject the token, and that of those among them
    /// that have accepted no token since `began`.
    struct rejections
    {
        std::size_t all = 0;
        std::size_t unaccepted = 0;
    };

    /// When the present or the last search began.
    time_point began() const
    {
        return began_;
    }

    bool is_active() const
    {
        return active_;
    }

    /// Whether the token has to be raised now.
    bool is_due(rejections const& rejected, time_point now);

    /// The claim to try after `rejected`, the claim number of the present
    /// token. `clock_claim`: the least number by the time of day.
    std::int64_t next_claim(std::int64_t rejected, std::int64_t clock_claim,
                            time_point now);

private:
    bool active_ = false;
    time_point began_{};
    time_point tried_{};
    std::int64_t base_ = 0;
    std::int64_t distance_ = 0;
};

} // namespace masticshift::dispatch

#endif
