#ifndef MASTICSHIFT_DAEMON_PEER_WATCH_HPP
#define MASTICSHIFT_DAEMON_PEER_WATCH_HPP

#include "configuration_fetcher.hpp"
#include "entry_state.hpp"
#include "job_runner.hpp"

#include <membership/membership_view.hpp>
#include <peer_link/peer_client.hpp>
#include <peer_link/wire.hpp>
#include <store/vm_list.hpp>
#include <transport/http_client.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace masticshift::daemon
{

/// Exchanges heartbeats with the other entries and passes their content on to
/// the router, the placement engine and the configuration fetcher: live entries
/// and their load, leaving endpoints, newer configurations, successions.
class peer_watch
{
public:
    peer_watch(boost::asio::any_io_executor executor, entry_state& state,
               membership::membership_view& view, job_runner& runner,
               configuration_fetcher& fetcher, peer_link::peer_client& peers,
               transport::http_client& endpoints);

    /// Sends heartbeats until it is cancelled.
    boost::asio::awaitable<void> run();

    /// Handles a heartbeat of a peer and returns the response to it.
    outcome<wire::heartbeat_reply>
    receive_heartbeat(wire::heartbeat const& message, time_point now);

    /// Applies a VM list of the platform.
    void apply_vm_list(store::vm_list const& vms, time_point now);
    /// Records the configuration revision in force at the platform.
    void record_platform_revision(std::uint64_t revision, time_point now);

    /// Addresses of peers that can take over a table of ids: those of the own
    /// data centre first.
    std::vector<std::string> successors(time_point now) const;

    /// Records which entry answers for the ids of a stopped process. The next
    /// heartbeats carry it to the peers.
    void announce_succession(homes::process_name const& stopped,
                             std::string const& successor, time_point now);

    /// Sends one heartbeat to every live peer, all at once. Waits for the
    /// responses, at most for the call timeout.
    boost::asio::awaitable<void> broadcast_heartbeat(time_point now);

    boost::json::value describe(time_point now) const;

private:
    membership::heartbeat make_heartbeat(time_point now);
    boost::asio::awaitable<void> send(std::string peer,
                                      wire::heartbeat message);
    void apply_heartbeat(membership::heartbeat const& beat, time_point now);
    /// Updates the router, the placement engine and the endpoint client from
    /// the membership view.
    void update(time_point now);
    void update_peers(time_point now);
    void update_leaving(time_point now);
    /// Divides the connections that each endpoint accepts among the live
    /// entries.
    void update_connections(time_point now);
    void
    learn_successions(std::vector<membership::succession> const& successions,
                      time_point now);

    boost::asio::any_io_executor executor_;
    entry_state& state_;
    membership::membership_view& view_;
    job_runner& runner_;
    configuration_fetcher& fetcher_;
    peer_link::peer_client& peers_;
    transport::http_client& endpoints_;
    /// Leaving endpoints last passed to the placement engine, ordered.
    std::vector<std::string> leaving_;
    /// Configuration revision and number of entries from which the connection
    /// limits were last computed.
    std::uint64_t limits_revision_ = 0;
    std::size_t limits_entries_ = 0;
};

} // namespace masticshift::daemon

#endif
