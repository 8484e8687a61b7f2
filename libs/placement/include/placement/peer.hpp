#ifndef MASTICSHIFT_PLACEMENT_PEER_HPP
#define MASTICSHIFT_PLACEMENT_PEER_HPP

#include <core/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace masticshift::placement
{

/// Load of one service at one entry, as sent in heartbeats.
struct service_load
{
    std::string service;
    /// Number of slots that the entry could lend now.
    unsigned idle_slots = 0;
    unsigned queued_tasks = 0;
};

/// State of a live entry, as known to this entry.
struct live_entry
{
    /// Peer address `IP:PORT`, spelled identically at all entries, since slot
    /// ownership is computed from a hash of it.
    std::string address;
    std::string data_centre;
    /// Share of slots relative to the other entries of the data centre.
    double weight = 1.0;
    /// Sequence number of the heartbeat that carried `loads`; 0 when there is
    /// none, and `loads` then always counts as new.
    std::uint64_t sequence = 0;
    std::vector<service_load> loads;
};

/// A call to another entry that asks to borrow slots for a service.
struct borrow_request
{
    /// Peer address.
    std::string lender;
    std::string service;
    /// Number of slots asked for.
    unsigned count = 0;
};

/// A slot that one entry has lent to another for a limited time.
struct loan
{
    /// Name of the endpoint.
    std::string endpoint;
    /// Index of the slot at the endpoint.
    unsigned slot = 0;
    /// Time that was left on the loan when this message was sent.
    duration valid{};
};

/// Borrowed slots to be returned to their lender before their loans end.
struct returned_loans
{
    /// Peer address.
    std::string lender;
    std::vector<loan> slots;
};

} // namespace masticshift::placement

#endif
