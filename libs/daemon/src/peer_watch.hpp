#ifndef MASTICSHIFT_DAEMON_PEER_WATCH_HPP
#define MASTICSHIFT_DAEMON_PEER_WATCH_HPP

#include "configuration_holder.hpp"
#include "entry_state.hpp"
#include "job_runner.hpp"

#include <peer_link/peer_client.hpp>
#include <peer_link/wire.hpp>
#include <platform/vm_list.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <map>
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
               job_runner& runner, configuration_holder& holder,
               peer_link::peer_client& peers);

    /// Runs until it is cancelled.
    boost::asio::awaitable<void> run();

    boost::asio::awaitable<void> send_heartbeats();

    void hear(wire::heartbeat const& heartbeat, time_point now);
    void take_vms(platform::vm_list const& vms, time_point now);

    /// Peers that can take a table over, the best first.
    std::vector<std::string> successors(time_point now) const;

    void announce_succession(homes::process_name const& stopped,
                             std::string const& successor, time_point now);

    boost::json::value describe(time_point now) const;

private:
    struct peer
    {
        wire::heartbeat last;
        time_point heard;
    };

    bool is_live(peer const& known, time_point now) const;
    void update_engine(time_point now);
    wire::heartbeat make_heartbeat(time_point now);
    boost::asio::awaitable<void> send(config::socket_address address,
                                      wire::heartbeat heartbeat);
    boost::asio::awaitable<void> fetch_text(config::socket_address address);

    boost::asio::any_io_executor executor_;
    entry_state& state_;
    job_runner& runner_;
    configuration_holder& holder_;
    peer_link::peer_client& peers_;
    std::set<std::string> known_;
    std::map<std::string, peer> heard_;
    std::set<std::string> leaving_;
    std::map<homes::process_name, std::string> successions_;
    std::int64_t sequence_ = 0;
    bool fetching_ = false;
};

} // namespace masticshift::daemon

#endif
