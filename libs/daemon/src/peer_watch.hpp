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

/// Exchanges heartbeats with the other entries and tells the deciding parts
/// what they bring: live entries and their load, leaving endpoints, newer
/// configurations, successions.
class peer_watch
{
public:
    peer_watch(boost::asio::any_io_executor executor, entry_state& state,
               membership::membership_view& view, job_runner& runner,
               configuration_fetcher& fetcher, peer_link::peer_client& peers,
               transport::http_client& endpoints);

    /// Sends heartbeats until it is cancelled.
    boost::asio::awaitable<void> run();

    /// Takes a heartbeat and gives the answer to it.
    outcome<wire::heartbeat_reply> hear(wire::heartbeat const& message,
                                        time_point now);

    void take_vms(store::vm_list const& vms, time_point now);
    void take_revision(std::uint64_t revision, time_point now);

    /// Peers that can take a table over, the best first.
    std::vector<std::string> successors(time_point now) const;

    /// Tells all live peers who answers for the ids of a stopped process.
    void announce_succession(homes::process_name const& stopped,
                             std::string const& successor, time_point now);

    /// One heartbeat to every live peer.
    boost::asio::awaitable<void> tell_all(time_point now);

    boost::json::value describe(time_point now) const;

private:
    membership::heartbeat make_heartbeat(time_point now);
    boost::asio::awaitable<void> send(std::string peer,
                                      wire::heartbeat message);
    void take(membership::heartbeat const& beat, time_point now);
    /// Passes on what has changed to the router and the placement engine.
    void update(time_point now);
    void update_peers(time_point now);
    void update_leaving(time_point now);
    /// Shares the connections that an endpoint takes among the live entries.
    void update_connections(time_point now);
    void learn(std::vector<membership::succession> const& successions,
               time_point now);

    boost::asio::any_io_executor executor_;
    entry_state& state_;
    membership::membership_view& view_;
    job_runner& runner_;
    configuration_fetcher& fetcher_;
    peer_link::peer_client& peers_;
    transport::http_client& endpoints_;
    std::vector<std::string> leaving_;
    /// What the shares were last worked out from.
    std::uint64_t shared_revision_ = 0;
    std::size_t shared_entries_ = 0;
};

} // namespace masticshift::daemon

#endif
