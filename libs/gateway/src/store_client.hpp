#ifndef MASTICSHIFT_GATEWAY_STORE_CLIENT_HPP
#define MASTICSHIFT_GATEWAY_STORE_CLIENT_HPP

#include "gateway_state.hpp"
#include "peer_calls.hpp"

#include <platform/store_codec.hpp>
#include <transport/http_client.hpp>

namespace masticshift::gateway
{

/// Calls to the platform's store. An entry that the store turns away reads
/// through a peer.
class store_client
{
public:
    store_client(gateway_state& state, transport::http_client& http,
                 peer_link::peer_client& peers)
        : state_(state), http_(http), peers_(peers)
    {
    }

    /// One call, direct. The answer may be any status.
    asio::awaitable<transport::call_result>
    call(transport::http_request request, milliseconds timeout);

    /// Reads rows, through a peer if need be. `history_gone` is set when a
    /// watch has to begin anew.
    asio::awaitable<outcome<platform::store_rows>>
    read(transport::http_request request, milliseconds timeout,
         bool& history_gone);

    /// Whether the last direct call was answered.
    bool reachable() const
    {
        return reachable_;
    }

private:
    asio::awaitable<outcome<transport::http_response>>
    relay(std::string target, milliseconds timeout);
    void note_reachable(bool reachable, std::string const& detail);

    gateway_state& state_;
    transport::http_client& http_;
    peer_link::peer_client& peers_;
    bool reachable_ = true;
};

} // namespace masticshift::gateway

#endif
