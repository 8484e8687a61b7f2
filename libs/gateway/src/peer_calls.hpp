#ifndef MASTICSHIFT_GATEWAY_PEER_CALLS_HPP
#define MASTICSHIFT_GATEWAY_PEER_CALLS_HPP

#include "asio_types.hpp"

#include <peer_link/peer_client.hpp>

#include <string>

namespace masticshift::gateway
{

/// Calls a peer by its address in text form.
inline asio::awaitable<peer_link::call_result>
call_peer(peer_link::peer_client& client, std::string const& address,
          wire::message content, time_point deadline)
{
    auto const peer = config::parse_socket_address(address);
    if (!peer)
        co_return peer_link::peer_failure{false, peer.error()};
    co_return co_await client.call(*peer, std::move(content), deadline);
}

} // namespace masticshift::gateway

#endif
