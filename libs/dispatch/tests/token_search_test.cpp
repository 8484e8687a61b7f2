#include <dispatch/token.hpp>
#include <dispatch/token_search.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <vector>

namespace masticshift::dispatch
{

namespace
{

constexpr milliseconds step{10};
constexpr time_point start = time_point{} + std::chrono::seconds(1'000);

/// A dispatcher and what the endpoints of its cell say to its token. All of
/// them respond within one step.
struct rival
{
    token_search search;
    std::int64_t claim = 0;
    /// Error of its clock, in seconds.
    std::int64_t clock_error = 0;
    std::vector<bool> rejects;
    std::vector<time_point> accepted;
    int raises = 0;

    void advance(std::vector<std::int64_t>& endpoints, std::int64_t seconds,
                 time_point now)
    {
        token_search::rejections rejected;
        for (std::size_t i = 0; i < endpoints.size(); ++i)
        {
            rejects[i] = endpoints[i] > claim;
            if (!rejects[i])
                continue;
            ++rejected.all;
            if (accepted[i] == time_point{} || accepted[i] < search.began())
                ++rejected.unaccepted;
        }
        if (!search.is_due(rejected, now))
            return;
        claim = search.next_claim(claim, seconds + clock_error, now);
        ++raises;
        for (std::size_t i = 0; i < endpoints.size(); ++i)
        {
            if (endpoints[i] > claim)
                continue;
            endpoints[i] = claim;
            accepted[i] = now;
        }
    }
};

rival make_rival(std::int64_t claim, std::size_t endpoints,
                 std::int64_t clock_error = 0)
{
    rival made;
    made.claim = claim;
    made.clock_error = clock_error;
    made.rejects.resize(endpoints);
    made.accepted.resize(endpoints);
    return made;
}

/// Highest claim after two dispatchers have outranked each other for `length`,
/// the second one with a clock that is ahead.
std::int64_t highest_after(milliseconds length, std::int64_t clock_error,
                           std::int64_t first_second)
{
    std::vector<std::int64_t> endpoints(16, first_second);
    std::array rivals{
        make_rival(first_second, endpoints.size()),
        make_rival(first_second + clock_error, endpoints.size(), clock_error)};
    // The claim of the second one, when it takes the cell over.
    std::ranges::fill(endpoints, rivals[1].claim);
    for (milliseconds passed{0}; passed < length; passed += step)
    {
        auto const seconds =
            first_second +
            std::chrono::duration_cast<std::chrono::seconds>(passed).count();
        for (auto& each : rivals)
            each.advance(endpoints, seconds, start + passed);
    }
    return *std::ranges::max_element(endpoints);
}

} // namespace

// Tokens rose by years in 24 s, and no job was placed for 30 s after a restart
// of all entries (review/6).
TEST_CASE("dispatchers that outrank each other raise the token by a bounded "
          "number of claims")
{
    constexpr std::int64_t first = 29'000'000;
    for (auto const seconds : {24, 600})
    {
        for (auto const clock_error : {0, 5, 3'600, 1'000'000})
        {
            auto const highest = highest_after(std::chrono::seconds(seconds),
                                               clock_error, first);
            // Two searches in 300 ms, and the seconds that pass.
            auto const bound =
                4L * clock_error + 8 * std::int64_t(seconds) + 16;
            CAPTURE(seconds);
            CAPTURE(clock_error);
            CHECK(highest - first <= bound);
        }
    }
}

TEST_CASE("a lone dispatcher is accepted within a second, whatever token the "
          "endpoints have seen")
{
    constexpr std::int64_t first = 29'000'000;
    for (auto const ahead :
         {std::int64_t(1), std::int64_t(100), std::int64_t(100'000'000),
          largest_claim_number - first})
    {
        std::vector<std::int64_t> endpoints(16, first + ahead);
        // Endpoints that were out of reach have seen lower tokens.
        endpoints[0] = first - 1;
        endpoints[1] = first + ahead / 2;
        auto tested = make_rival(first, endpoints.size());
        milliseconds passed{0};
        while (passed < std::chrono::seconds(1) &&
               std::ranges::any_of(endpoints,
                                   [&](auto seen)
                                   {
                                       return seen > tested.claim;
                                   }))
        {
            tested.advance(endpoints, first, start + passed);
            passed += step;
        }
        CAPTURE(ahead);
        CHECK(passed < std::chrono::seconds(1));
        CHECK(tested.claim <= largest_claim_number);
    }
}

TEST_CASE("a dispatcher that was outranked outranks the other one after the "
          "search interval only")
{
    token_search tested;
    REQUIRE(tested.is_due({4, 4}, start));
    tested.next_claim(10, 1, start);
    // Accepted, then taken over.
    auto now = start + token_search::try_interval;
    CHECK_FALSE(tested.is_due({0, 0}, now));
    CHECK_FALSE(tested.is_due({4, 0}, now));
    now = start + token_search::response_time;
    CHECK_FALSE(tested.is_due({4, 0}, now));
    CHECK_FALSE(tested.is_active());
    CHECK(tested.is_due({4, 0}, start + token_search::search_interval));
}

TEST_CASE("the claim follows the clock, and never exceeds the largest number")
{
    token_search tested;
    CHECK(tested.next_claim(10, 5'000, start) == 5'000);
    token_search last;
    CHECK(last.next_claim(largest_claim_number, 5'000, start) ==
          largest_claim_number);
    CHECK(raised_token(largest_token - 1) < largest_token);
}

} // namespace masticshift::dispatch
