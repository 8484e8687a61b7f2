#ifndef MASTICSHIFT_MEMBERSHIP_LEAVING_SET_HPP
#define MASTICSHIFT_MEMBERSHIP_LEAVING_SET_HPP

#include <core/time.hpp>
#include <membership/heartbeat.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace masticshift::membership
{

/// An endpoint of a VM list.
struct listed_endpoint
{
    std::string address;
    bool leaving = false;
};

/// The endpoints of a VM list.
struct endpoint_list
{
    /// Time of the list by the platform's clock.
    std::int64_t as_of_us = 0;
    std::vector<listed_endpoint> endpoints;
};

/// Endpoints that get no new work because they are leaving, as stated by this
/// entry's own VM lists or by notices of peers. An endpoint stops counting as
/// leaving when a newer list, the own one or a peer's, shows it live. While the
/// platform is unreachable, the last list stays in force.
class leaving_set
{
public:
    /// Applies a VM list. A list older than the newest applied one is ignored,
    /// unless it is older by more than `clock_step_us`: the platform's clock
    /// was then set back.
    void apply_list(endpoint_list const& list, time_point now);

    /// Applies the notices of a peer. Returns whether any changed a state here.
    bool receive(std::vector<leaving_notice> const& notices,
                 std::string_view origin, time_point now);

    bool is_leaving(std::string_view endpoint) const;

    /// Leaving endpoints, ordered by address.
    std::vector<std::string> endpoints() const;

    /// Notices to send to peers: those that changed here within the last
    /// `gossip_duration` and, for that long after `resend`, all.
    std::vector<leaving_notice> recent_updates(time_point now) const;

    /// Includes all notices in `recent_updates` for `gossip_duration` from now.
    void resend(time_point now);

    /// Forgets endpoints that returned `returned_retention` ago or earlier.
    void expire(time_point now);

    /// Digest of the leaving endpoints. Equal at entries that know the same
    /// ones.
    std::uint64_t digest() const;

    /// Time of the list in force by the platform's clock, 0 if there is none.
    std::int64_t as_of_us() const;

    /// Maximum number of notices. The oldest are dropped first.
    static constexpr std::size_t max_notices = 4'096;
    /// How long heartbeats carry a notice after it changed here.
    static constexpr milliseconds gossip_duration{4'000};
    /// How long the return of an endpoint is remembered.
    static constexpr milliseconds returned_retention{60'000};
    /// A list that is older by more than this means that the platform's clock
    /// was set back.
    static constexpr std::int64_t clock_step_us = 600'000'000;

private:
    struct record
    {
        std::int64_t as_of_us = 0;
        bool returned = false;
        /// Address of the peer that sent the notice, empty for an own VM list.
        std::string origin;
        /// When the state last changed here.
        time_point changed_at;
    };

    bool add(leaving_notice const& notice, std::string_view origin,
             time_point now);
    static bool update(record& record, leaving_notice const& notice,
                       std::string_view origin, time_point now);
    /// Whether the own VM list shows the endpoint live and is newer than the
    /// notice, or older by more than `clock_step_us`.
    bool contradicted(leaving_notice const& notice) const;
    /// Marks leaving endpoints as returned if the own VM list contradicts them.
    void mark_returned_by_list(time_point now);
    void drop_oldest();

    std::map<std::string, record, std::less<>> records_;
    /// Endpoints that the list in force shows live, ordered.
    std::vector<std::string> live_;
    std::int64_t as_of_us_ = 0;
    time_point resend_started_ = time_point::min();
};

} // namespace masticshift::membership

#endif
