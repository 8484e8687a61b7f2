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

/// What this entry says of itself in its next heartbeats.
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

/// All that one entry knows of the others, and the heartbeats that spread it.
class membership_view
{
public:
    membership_view(process_id self, std::string data_centre,
                    peer_table_settings settings, milliseconds id_retention);

    /// Takes a heartbeat or the answer to one. When its sender knows other news
    /// than this entry, the next heartbeats carry all that this entry knows.
    heartbeat_result receive(heartbeat const& beat, time_point now);

    /// The answer to a heartbeat of a peer. The peer takes it with `receive`.
    heartbeat answer(time_point now);

    /// Takes a VM list.
    void apply_list(vm_list const& list, time_point now);

    /// The heartbeat of the next interval, with at most
    /// `loads_per_heartbeat` loads. Answers repeat these until the next one.
    heartbeat next_heartbeat(own_state const& own, time_point now);

    /// Addresses that get this heartbeat as a call. The others of the own data
    /// centre call this entry and get it as an answer.
    std::vector<std::string> heartbeat_targets(time_point now) const;

    /// Forgets what is out of date. Returns the addresses of forgotten peers.
    std::vector<std::string> expire(time_point now);

    static constexpr std::size_t loads_per_heartbeat = 3;

    peer_table peers;
    leaving_set leaving;
    succession_table successions;
    configuration_tracker configuration;

private:
    std::uint64_t news_digest() const;
    void compare_digests(std::uint64_t digest, time_point now);

    load_selector load_selector_;
    own_state told_;
    std::int64_t sequence_ = 0;
    std::int64_t round_ = 0;
};

} // namespace masticshift::membership

#endif
