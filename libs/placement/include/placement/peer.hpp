#ifndef MASTICSHIFT_PLACEMENT_PEER_HPP
#define MASTICSHIFT_PLACEMENT_PEER_HPP

#include <core/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace masticshift::placement
{

/// Load of one service at one entry, as heartbeats carry it.
struct service_load
{
    std::string service;
    /// Slots that the entry could lend.
    unsigned idle_slots = 0;
    unsigned queued_tasks = 0;
};

/// What is known of a live entry.
struct entry_view
{
    /// Peer address `IP:PORT`. The same text at all entries.
    std::string address;
    std::string data_centre;
    /// Share of slots against the other entries of the data centre.
    double weight = 1.0;
    /// Sequence of the heartbeat that brought `loads`.
    std::uint64_t sequence = 0;
    std::vector<service_load> loads;
};

/// A call to be made to another entry.
struct borrow_request
{
    /// Peer address.
    std::string lender;
    std::string service;
    unsigned count = 0;
};

/// A slot on loan.
struct loan
{
    /// Name of the endpoint.
    std::string endpoint;
    unsigned slot = 0;
    /// From sending until the loan ends.
    duration valid{};
};

/// Loans that go back to their lender before they end.
struct give_back
{
    /// Peer address.
    std::string lender;
    std::vector<loan> slots;
};

} // namespace masticshift::placement

#endif
