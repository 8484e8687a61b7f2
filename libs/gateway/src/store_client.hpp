#ifndef MASTICSHIFT_GATEWAY_STORE_CLIENT_HPP
#define MASTICSHIFT_GATEWAY_STORE_CLIENT_HPP

#include "gateway_state.hpp"
#include "peer_calls.hpp"

#include <platform/store_codec.hpp>
#include <transport/http_client.hpp>

namespace masticshift::gateway
{

/// Calls to the platform's store. An entry that the store refuses or that
/// cannot reach it reads through a peer.
class store_client
{
public:
    store_client(gateway_state& state, transport::http_client& http,
                 peer_link::peer_client& peers)
        : state_(state), http_(http), peers_(peers)
    {
    }

    /// One direct call. The response may have any status.
    asio::awaitable<transport::call_result>
    call(transport::http_request request, milliseconds timeout);

    /// Reads rows, through a peer if the direct call fails. `history_gone` is
    /// set when the store no longer holds the changes that a watch asks for, so
    /// that the table has to be read whole.
    asio::awaitable<outcome<platform::store_rows>>
    read(transport::http_request request, milliseconds timeout,
         bool& history_gone);

    /// Whether the store accepted the last direct call.
    bool reachable() const
    {
        return reachable_;
    }

private:
    asio::awaitable<outcome<transport::http_response>>
    relay(std::string target, milliseconds timeout);
    outcome<platform::store_rows>
    decode(std::string const& target, transport::http_response const& response);
    void set_reachable(bool reachable, std::string const& detail);

    gateway_state& state_;
    transport::http_client& http_;
    peer_link::peer_client& peers_;
    bool reachable_ = true;
    /// By table: unreadable rows of the last response.
    std::map<std::string, std::size_t> skipped_;
};

} // namespace masticshift::gateway

#endif
