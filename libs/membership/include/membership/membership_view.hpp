#ifndef MASTICSHIFT_MEMBERSHIP_MEMBERSHIP_VIEW_HPP
#define MASTICSHIFT_MEMBERSHIP_MEMBERSHIP_VIEW_HPP

#include <core/time.hpp>
#include <membership/configuration_tracker.hpp>
#include <membership/heartbeat.hpp>
#include <membership/leaving_set.hpp>
#include <membership/load_selector.hpp>
#include <membership/peer_table.hpp>
#include <membership/succession_table.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace masticshift::membership
{

/// The state of this entry that its next heartbeats carry.
struct own_state
{
    int generation = 0;
    bool draining = false;
    std::vector<service_load> loads;
};

/// Entries and endpoints of one VM list.
struct vm_list
{
    std::int64_t as_of_us = 0;
    std::vector<listed_entry> entries;
    std::vector<listed_endpoint> endpoints;
};

/// Everything that one entry knows of the other entries and of leaving
/// endpoints, and the heartbeats that spread it.
class membership_view
{
public:
    membership_view(process_id self, std::string data_centre,
                    peer_table_settings settings, milliseconds id_retention);

    /// Applies a heartbeat or the response to one. If the sender's digest
    /// differs from that of this entry, the next heartbeats carry all leaving
    /// endpoints and successions that this entry knows.
    heartbeat_result receive(heartbeat const& beat, time_point now);

    /// The response to a heartbeat of a peer, which applies it with `receive`.
    heartbeat make_response(time_point now);

    /// Applies a VM list.
    void apply_list(vm_list const& list, time_point now);

    /// Starts the next interval and returns its heartbeat, with at most
    /// `loads_per_heartbeat` loads. Responses in this interval carry the same
    /// loads.
    heartbeat next_heartbeat(own_state const& own, time_point now);

    /// Addresses of the peers to call with this heartbeat. The other peers of
    /// the own data centre call this entry and get it as the response.
    std::vector<std::string> heartbeat_targets(time_point now) const;

    /// Removes expired state. Returns the addresses of forgotten peers.
    std::vector<std::string> expire(time_point now);

    static constexpr std::size_t loads_per_heartbeat = 3;

    peer_table peers;
    leaving_set leaving;
    succession_table successions;
    configuration_tracker configuration;

private:
    std::uint64_t news_digest() const;
    /// Sends all notices and successions again if a peer's digest differs.
    void compare_digests(std::uint64_t digest, time_point now);

    load_selector load_selector_;
    /// Own state as sent in the current interval, with the selected loads.
    own_state announced_;
    std::int64_t sequence_ = 0;
    /// Number of the current interval.
    std::int64_t round_ = 0;
};

} // namespace masticshift::membership

#endif
