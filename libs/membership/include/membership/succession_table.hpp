#ifndef MASTICSHIFT_MEMBERSHIP_SUCCESSION_TABLE_HPP
#define MASTICSHIFT_MEMBERSHIP_SUCCESSION_TABLE_HPP

#include <core/time.hpp>
#include <membership/heartbeat.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace masticshift::membership
{

/// Maps stopped processes to the entries that answer for their ids. A later
/// handover of the same ids replaces an earlier one.
class succession_table
{
public:
    /// `retention` is the longest time for which ids are answered.
    explicit succession_table(milliseconds retention);

    /// Adds a succession unless it is older than the retention, or the table
    /// has a later one. Returns whether the table changed.
    bool add(succession const& entry, time_point now);

    std::optional<process_id> successor_of(process_id const& stopped) const;

    /// Number of handovers of the ids of a stopped process, 0 if none is known.
    int handovers_of(process_id const& stopped) const;

    /// `recent_updates`, `resend` and `digest` work as those of `leaving_set`.
    std::vector<succession> recent_updates(time_point now) const;
    void resend(time_point now);
    std::uint64_t digest() const;

    void expire(time_point now);
    std::size_t size() const;

    /// Maximum number of successions. The oldest are dropped first.
    static constexpr std::size_t max_entries = 1'024;
    /// How long heartbeats carry a succession after it changed here.
    static constexpr milliseconds gossip_duration{4'000};

private:
    struct record
    {
        process_id successor;
        int handovers = 1;
        time_point handed_over_at;
        /// When the succession last changed here.
        time_point changed_at;
    };

    void drop_oldest();

    milliseconds retention_;
    std::map<process_id, record> records_;
    time_point resend_started_ = time_point::min();
};

} // namespace masticshift::membership

#endif
