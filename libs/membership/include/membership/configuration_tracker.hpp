#ifndef MASTICSHIFT_MEMBERSHIP_CONFIGURATION_TRACKER_HPP
#define MASTICSHIFT_MEMBERSHIP_CONFIGURATION_TRACKER_HPP

#include <core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace masticshift::membership
{

/// Where a configuration text can be fetched from.
struct configuration_source
{
    /// Address of a peer. Empty for the platform's table.
    std::string peer;

    bool is_platform() const
    {
        return peer.empty();
    }

    friend bool operator==(configuration_source const&,
                           configuration_source const&) = default;

    friend bool operator<(configuration_source const& a,
                          configuration_source const& b)
    {
        return a.peer < b.peer;
    }
};

/// A configuration text to fetch.
struct configuration_fetch
{
    configuration_source source;
    /// Revision that the source has announced.
    std::uint64_t revision = 0;
};

/// Tracks the configuration revision in force and the revisions that the
/// platform and the peers have announced. The revision in force never
/// decreases.
class configuration_tracker
{
public:
    /// Records that a source has announced this revision.
    void record_announced(configuration_source const& source,
                          std::uint64_t revision, time_point now);

    /// Starts the next fetch, if one is due: of the highest announced revision
    /// above the one in force, from a peer rather than from the platform if
    /// both have it. At most one fetch runs at a time; it counts as failed
    /// after `fetch_limit`. A source that failed is skipped for a pause that
    /// doubles with each failure.
    std::optional<configuration_fetch> start_fetch(time_point now);

    /// The fetch from a source failed or returned no newer revision.
    void fetch_failed(configuration_source const& source, time_point now);

    /// The text of a revision is invalid here. It is not fetched again.
    void reject(std::uint64_t revision);

    /// Puts a revision in force. False, and nothing changes, unless it is
    /// higher than the one in force.
    bool put_in_force(std::uint64_t revision);

    /// Revision in force, 0 if there is none.
    std::uint64_t in_force() const;
    std::uint64_t highest_seen() const;

    /// Whether a revision is in force.
    bool ready() const;

    /// Forgets what a source has announced.
    void forget(configuration_source const& source);

    /// Maximum number of rejected revisions that are remembered. The lowest are
    /// dropped first.
    static constexpr std::size_t max_rejected = 64;
    static constexpr milliseconds fetch_limit{2'000};
    static constexpr milliseconds first_pause{100};
    static constexpr milliseconds longest_pause{5'000};

private:
    struct source_state
    {
        std::uint64_t revision = 0;
        time_point seen_at;
        milliseconds pause{0};
        time_point next_try = time_point::min();
    };

    struct running_fetch
    {
        configuration_source source;
        time_point started;
    };

    bool can_fetch(source_state const& state, time_point now) const;

    std::map<configuration_source, source_state> sources_;
    std::optional<running_fetch> running_;
    std::uint64_t in_force_ = 0;
    std::set<std::uint64_t> rejected_;
};

} // namespace masticshift::membership

#endif
