#ifndef MASTICSHIFT_DAEMON_HANDOVER_WIRE_HPP
#define MASTICSHIFT_DAEMON_HANDOVER_WIRE_HPP

#include <homes/handover.hpp>
#include <peer_link/wire.hpp>

#include <core/outcome.hpp>

namespace masticshift::daemon
{

wire::handover to_wire(homes::handover_part const& part);

/// Fails with `peer_protocol`.
outcome<homes::handover_part> from_wire(wire::handover message);

} // namespace masticshift::daemon

#endif
