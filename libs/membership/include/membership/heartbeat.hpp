#ifndef MASTICSHIFT_MEMBERSHIP_HEARTBEAT_HPP
#define MASTICSHIFT_MEMBERSHIP_HEARTBEAT_HPP

#include <core/time.hpp>

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace masticshift::membership
{

/// One run of an entry. Addresses have the form `IP:PORT` throughout.
struct process_id
{
    std::string address;
    std::int64_t incarnation = 0;

    friend bool operator==(process_id const&, process_id const&) = default;

    friend bool operator<(process_id const& a, process_id const& b)
    {
        return std::tie(a.address, a.incarnation) <
               std::tie(b.address, b.incarnation);
    }
};

/// Load of one service at one entry.
struct service_load
{
    std::string service;
    int idle_slots = 0;
    int queued_tasks = 0;

    friend bool operator==(service_load const&, service_load const&) = default;
};

/// An endpoint that a VM list showed as leaving.
struct leaving_notice
{
    std::string endpoint;
    /// Time of that list by the platform's clock.
    std::int64_t as_of_us = 0;
    /// The list showed it live again instead.
    bool returned = false;

    friend bool operator==(leaving_notice const&,
                           leaving_notice const&) = default;
};

/// `successor` answers for the ids of `stopped`.
struct succession
{
    process_id stopped;
    process_id successor;
    /// Handovers since the ids were formed, beginning with 1.
    int handovers = 1;
    /// Time since the handover.
    milliseconds age{0};

    friend bool operator==(succession const&, succession const&) = default;
};

/// What an entry tells a peer in each interval, as a call or as the answer to
/// the peer's own heartbeat.
struct heartbeat
{
    process_id sender;
    std::string data_centre;
    int generation = 0;
    /// Configuration in force, 0 for none.
    std::uint64_t revision = 0;
    bool draining = false;
    /// Grows with each heartbeat of an incarnation.
    std::int64_t sequence = 0;
    /// Some of the loads; the others stay as they were told before.
    std::vector<service_load> loads;
    /// Digest of the leaving endpoints and successions that are known to the
    /// sender, whether or not this heartbeat carries them.
    std::uint64_t news_digest = 0;
    std::vector<leaving_notice> leaving_endpoints;
    std::vector<succession> successions;

    friend bool operator==(heartbeat const&, heartbeat const&) = default;
};

} // namespace masticshift::membership

#endif
