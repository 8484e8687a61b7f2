#ifndef MASTICSHIFT_MEMBERSHIP_HEARTBEAT_HPP
#define MASTICSHIFT_MEMBERSHIP_HEARTBEAT_HPP

#include <core/time.hpp>

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace masticshift::membership
{

/// One incarnation of an entry. All addresses have the form `IP:PORT`.
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

/// The state of an endpoint that a VM list has shown as leaving.
struct leaving_notice
{
    std::string endpoint;
    /// Time of the list that showed this state, by the platform's clock.
    std::int64_t as_of_us = 0;
    /// Whether that list showed it live again.
    bool returned = false;

    friend bool operator==(leaving_notice const&,
                           leaving_notice const&) = default;
};

/// States that `successor` answers for the ids of `stopped`.
struct succession
{
    process_id stopped;
    process_id successor;
    /// Number of handovers of these ids so far, at least 1.
    int handovers = 1;
    /// Time since the handover.
    milliseconds age{0};

    friend bool operator==(succession const&, succession const&) = default;
};

/// What an entry sends to a peer in each interval, as a call or as the response
/// to the peer's own heartbeat.
struct heartbeat
{
    process_id sender;
    std::string data_centre;
    int generation = 0;
    /// Configuration revision in force, 0 if there is none.
    std::uint64_t revision = 0;
    bool draining = false;
    /// Increases with each heartbeat of an incarnation.
    std::int64_t sequence = 0;
    /// Loads of some services; those of the others are as sent before.
    std::vector<service_load> loads;
    /// Digest of all leaving endpoints and successions that the sender knows,
    /// including those that this heartbeat does not carry.
    std::uint64_t news_digest = 0;
    std::vector<leaving_notice> leaving_endpoints;
    std::vector<succession> successions;

    friend bool operator==(heartbeat const&, heartbeat const&) = default;
};

} // namespace masticshift::membership

#endif
