#ifndef MASTICSHIFT_GATEWAY_PEER_EXCHANGE_HPP
#define MASTICSHIFT_GATEWAY_PEER_EXCHANGE_HPP

#include "dispatch_host.hpp"
#include "store_reader.hpp"

#include <peer_link/peer_server.hpp>

namespace masticshift::gateway
{

/// Signs of life to and from peers, and the answers to their other calls.
class peer_exchange
{
public:
    peer_exchange(shared_state& state, peer_link::peer_client& peers,
                  dispatch_host& host, store_reader& store)
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
    static asio::awaitable<void> send_sign(peer_exchange& self,
                                           std::string peer);
    asio::awaitable<wire::message> answer_job(wire::dispatch_job call);
    asio::awaitable<wire::message> answer_relay(wire::relay_read call);
    asio::awaitable<bool> learn_entries();
    std::string row_key() const;

    shared_state& state_;
    peer_link::peer_client& peers_;
    dispatch_host& host_;
    store_reader& store_;
    std::map<std::string, int> refusals_;
};

} // namespace masticshift::gateway

#endif
