#ifndef MASTICSHIFT_GATEWAY_PEER_EXCHANGE_HPP
#define MASTICSHIFT_GATEWAY_PEER_EXCHANGE_HPP

#include "cell_manager.hpp"
#include "store_client.hpp"

#include <peer_link/peer_server.hpp>

namespace masticshift::gateway
{

/// Sends heartbeats to peers and responds to the calls of peers.
class peer_exchange
{
public:
    peer_exchange(gateway_state& state, peer_link::peer_client& peers,
                  cell_manager& manager, store_client& store)
        : state_(state), peers_(peers), cell_manager_(manager), store_(store)
    {
    }

    /// Sends heartbeats.
    asio::awaitable<void> run();

    /// Sends the next heartbeats at once: other entries, or a claim of this
    /// one, have become known.
    void send_now();

    /// Registers this entry in the store and reads there which other entries
    /// exist.
    asio::awaitable<void> register_entry();

    /// Removes this entry from the store.
    asio::awaitable<void> unregister_entry();

    /// Handles a peer's call and returns the response.
    asio::awaitable<wire::message> handle_call(wire::message call);

private:
    static asio::awaitable<void> send_heartbeat(peer_exchange& self,
                                                std::string peer);
    asio::awaitable<wire::message>
    handle_dispatch_call(wire::dispatch_job call);
    /// Whether a submission is not taken because its entry may have given it
    /// up. `last`: the reading of this entry's clock that came with it.
    bool refuses_as_outdated(dispatch::job_spec const& job,
                             dispatch::entry_identity const& origin,
                             dispatch::clock_reading const& last,
                             time_point now);
    wire::message reply_to_job(dispatch::job_result const& result) const;
    asio::awaitable<wire::message> handle_relay_call(wire::relay_read call);
    asio::awaitable<bool> read_directory();
    /// Drops withdrawals that a dispatcher has received with a heartbeat.
    void acknowledge(std::string const& peer,
                     std::vector<dispatch::job_withdrawal> const& received);
    void log_unanswered_withdrawals(time_point now);
    void log_refused(failure const& reason);
    std::string row_key() const;

    gateway_state& state_;
    peer_link::peer_client& peers_;
    cell_manager& cell_manager_;
    store_client& store_;
    bool directory_read_ = false;
    /// The pause between heartbeats.
    std::optional<asio::steady_timer> pause_;
    /// By peer: refused connections in a row.
    std::map<std::string, int> refused_connections_;
    /// Reasons for which messages were refused, each of which is logged once.
    std::set<std::string> refused_messages_;
};

} // namespace masticshift::gateway

#endif
