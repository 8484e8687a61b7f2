#ifndef MASTICSHIFT_PEER_LINK_HEARTBEAT_CONVERSION_HPP
#define MASTICSHIFT_PEER_LINK_HEARTBEAT_CONVERSION_HPP

#include <core/outcome.hpp>
#include <membership/heartbeat.hpp>
#include <peer_link/wire.hpp>

namespace masticshift::peer_link
{

wire::heartbeat to_wire(membership::heartbeat const& beat);

/// The receiver's own heartbeat, as the response to a heartbeat.
wire::heartbeat_reply to_wire_reply(membership::heartbeat const& beat);

/// Fails with `peer_protocol` when an address is malformed, a number is out of
/// range or the name of the data centre is empty.
outcome<membership::heartbeat> from_wire(wire::heartbeat const& beat);
outcome<membership::heartbeat> from_wire(wire::heartbeat_reply const& reply);

} // namespace masticshift::peer_link

#endif
