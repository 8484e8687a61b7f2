#ifndef MASTICSHIFT_DAEMON_LOAN_WIRE_HPP
#define MASTICSHIFT_DAEMON_LOAN_WIRE_HPP

#include <peer_link/wire.hpp>
#include <placement/peer.hpp>

#include <vector>

namespace masticshift::daemon
{

std::vector<wire::lent_slot> to_wire(std::vector<placement::loan> const& loans);

/// Drops slots with a negative number.
std::vector<placement::loan>
from_wire(std::vector<wire::lent_slot> const& slots);

} // namespace masticshift::daemon

#endif
