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

/// Which entry answers for the ids of which stopped process. A later handover
/// of the same ids replaces an earlier one.
class succession_table
{
public:
    /// `retention`: how long ids are answered for at most.
    explicit succession_table(milliseconds retention);

    /// Returns whether the table changed. Successions that are past their
    /// retention are ignored.
    bool add(succession const& entry, time_point now);

    std::optional<process_id> successor_of(process_id const& stopped) const;

    /// Handovers of the ids of a stopped process so far, 0 for none.
    int handovers_of(process_id const& stopped) const;

    /// As `leaving_set::recent_updates`.
    std::vector<succession> recent_updates(time_point now) const;
    void resend(time_point now);
    std::uint64_t digest() const;

    void expire(time_point now);
    std::size_t size() const;

    /// Entries that are kept, at most. The oldest are dropped first.
    static constexpr std::size_t max_entries = 1'024;
    /// How long an entry is passed on after it was learnt.
    static constexpr milliseconds gossip_period{4'000};

private:
    struct record
    {
        process_id successor;
        int handovers = 1;
        time_point happened;
        time_point learnt;
    };

    void drop_oldest();

    milliseconds retention_;
    std::map<process_id, record> records_;
    time_point resent_ = time_point::min();
};

} // namespace masticshift::membership

#endif
