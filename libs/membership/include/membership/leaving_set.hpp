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

/// Endpoints that get no new work because they are leaving: the union of what
/// the own VM lists and the peers have shown. A notice ends when a newer list,
/// the own one or a peer's, shows the endpoint live. The last list stays in
/// force while the platform is away.
class leaving_set
{
public:
    /// Takes a VM list. Lists older than one that was taken are ignored,
    /// unless the platform's clock was set back by more than `clock_step_us`.
    void apply_list(endpoint_list const& list, time_point now);

    /// Takes the notices of a peer. Returns whether any was new.
    bool receive(std::vector<leaving_notice> const& notices,
                 std::string_view origin, time_point now);

    bool is_leaving(std::string_view endpoint) const;

    /// Endpoints that are leaving, ordered.
    std::vector<std::string> endpoints() const;

    /// Notices of which peers may not know yet: those that are new here and,
    /// after `resend`, all.
    std::vector<leaving_notice> recent_updates(time_point now) const;

    /// Passes on every notice again for a while.
    void resend(time_point now);

    /// Forgets endpoints that returned some time ago.
    void expire(time_point now);

    /// The same at entries that know the same notices.
    std::uint64_t digest() const;

    /// Time of the newest list that was taken, 0 for none.
    std::int64_t as_of_us() const;

    /// Notices that are kept, at most. The oldest are dropped first.
    static constexpr std::size_t max_notices = 4'096;
    /// How long a notice is passed on after it was learnt.
    static constexpr milliseconds gossip_period{4'000};
    /// How long it is remembered that an endpoint returned.
    static constexpr milliseconds returned_time{60'000};
    static constexpr std::int64_t clock_step_us = 600'000'000;

private:
    struct record
    {
        std::int64_t as_of_us = 0;
        bool returned = false;
        /// Who showed it: a peer, or empty for an own VM list.
        std::string origin;
        time_point learnt;
    };

    bool add(leaving_notice const& notice, std::string_view origin,
             time_point now);
    static bool update(record& record, leaving_notice const& notice,
                       std::string_view origin, time_point now);
    bool contradicted(leaving_notice const& notice) const;
    void settle_by_list(time_point now);
    void drop_oldest();

    std::map<std::string, record, std::less<>> records_;
    /// Endpoints that the newest list shows live.
    std::vector<std::string> live_;
    std::int64_t as_of_us_ = 0;
    time_point resent_ = time_point::min();
};

} // namespace masticshift::membership

#endif
