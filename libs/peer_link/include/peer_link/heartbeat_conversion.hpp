#ifndef MASTICSHIFT_PEER_LINK_HEARTBEAT_CONVERSION_HPP
#define MASTICSHIFT_PEER_LINK_HEARTBEAT_CONVERSION_HPP

#include <core/outcome.hpp>
#include <membership/heartbeat.hpp>
#include <peer_link/wire.hpp>

namespace masticshift::peer_link
{

wire::heartbeat to_wire(membership::heartbeat const& beat);
wire::heartbeat_reply to_wire(membership::heartbeat_answer const& answer);

/// Fails with `peer_protocol` when an address, a number or the name of the
/// data centre is not one.
outcome<membership::heartbeat> from_wire(wire::heartbeat const& beat);
membership::heartbeat_answer from_wire(wire::heartbeat_reply const& reply);

} // namespace masticshift::peer_link

#endif
