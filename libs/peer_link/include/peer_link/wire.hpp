#ifndef MASTICSHIFT_PEER_LINK_WIRE_HPP
#define MASTICSHIFT_PEER_LINK_WIRE_HPP

// The messages of idl/masticshift.thrift, in namespace masticshift::wire.
#include <peer_link/generated/masticshift_types.h>

#endif
