#ifndef MASTICSHIFT_GATEWAY_PEER_EXCHANGE_HPP
#define MASTICSHIFT_GATEWAY_PEER_EXCHANGE_HPP

#include "cell_manager.hpp"
#include "store_client.hpp"

#include <peer_link/peer_server.hpp>

namespace masticshift::gateway
{

/// Signs of life to and from peers, and the answers to their other calls.
class peer_exchange
{
public:
    peer_exchange(gateway_state& state, peer_link::peer_client& peers,
                  cell_manager& host, store_client& store)
        : state_(state), peers_(peers), host_(host), store_(store)
    {
    }

    /// Sends signs of life.
    asio::awaitable<void> run();

    /// Registers this entry in the store and learns of the others there.
    asio::awaitable<void> register_entry();

    /// Takes this entry out of the store.
    asio::awaitable<void> unregister_entry();

    /// Answers a peer's call.
    asio::awaitable<wire::message> answer(wire::message call);

private:
    static asio::awaitable<void> send_heartbeat(peer_exchange& self,
                                                std::string peer);
    asio::awaitable<wire::message> answer_job(wire::dispatch_job call);
    asio::awaitable<wire::message> answer_relay(wire::relay_read call);
    asio::awaitable<bool> learn_entries();
    std::string row_key() const;

    gateway_state& state_;
    peer_link::peer_client& peers_;
    cell_manager& host_;
    store_client& store_;
    std::map<std::string, int> refusals_;
};

} // namespace masticshift::gateway

#endif
