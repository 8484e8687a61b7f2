#ifndef MASTICSHIFT_GATEWAY_PEER_WIRE_HPP
#define MASTICSHIFT_GATEWAY_PEER_WIRE_HPP

#include <core/outcome.hpp>
#include <dispatch/evacuation_list.hpp>
#include <dispatch/job.hpp>
#include <dispatch/peer_roster.hpp>
#include <peer_link/wire.hpp>

#include <cstdint>
#include <vector>

namespace masticshift::gateway
{

// Conversions between the messages of the peer protocol and the types of
// libs/dispatch.

/// Whether a text is an address and port that can be called, spelled as entries
/// spell their own.
bool is_peer_address(std::string const& address);

wire::entry_record to_wire(dispatch::entry_identity const& entry);
dispatch::entry_identity from_wire(wire::entry_record const& entry);

wire::pulse to_wire(dispatch::entry_heartbeat const& heartbeat);
dispatch::entry_heartbeat from_wire(wire::pulse const& pulse);

/// Decode what another process says of an entry, or its heartbeat. Fail with
/// `peer_protocol` if it names no address that can be called, or with a number
/// out of range. Odd rows about other entries are left out of a heartbeat.
outcome<dispatch::entry_identity> decode_entry(wire::entry_record const& entry);
outcome<dispatch::entry_heartbeat> decode_heartbeat(wire::pulse const& pulse);

/// The evacuated data centres that a peer knows.
struct evacuations_read
{
    std::int64_t version = 0;
    std::vector<dispatch::evacuation_row> rows;
};

/// Fails with `peer_protocol` if the version is out of range. Empty names are
/// left out.
outcome<evacuations_read>
decode_evacuations(wire::fetch_evacuations_reply const& reply);

wire::clock_reading to_wire(dispatch::clock_reading const& reading);
dispatch::clock_reading from_wire(wire::clock_reading const& reading);

wire::dispatch_job to_wire(dispatch::job_spec const& job,
                           dispatch::entry_identity const& origin);

/// Fails with `malformed_request`.
outcome<dispatch::job_spec> from_wire(wire::dispatch_job job);

wire::dispatch_reply to_wire(dispatch::job_result const& result);

/// An outcome or reason out of range leaves the default of `job_result`.
dispatch::job_result from_wire(wire::dispatch_reply const& reply);

/// Text that identifies the process that submitted a job to a dispatcher:
/// address and incarnation.
std::string origin_name(dispatch::entry_identity const& entry);

} // namespace masticshift::gateway

#endif
