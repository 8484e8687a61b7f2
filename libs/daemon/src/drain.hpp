#ifndef MASTICSHIFT_DAEMON_DRAIN_HPP
#define MASTICSHIFT_DAEMON_DRAIN_HPP

#include "entry_state.hpp"
#include "job_runner.hpp"
#include "peer_watch.hpp"

#include <homes/handover.hpp>
#include <peer_link/peer_client.hpp>

#include <boost/asio/awaitable.hpp>

#include <string>

namespace masticshift::daemon
{

/// Stops an entry gracefully.
class drain
{
public:
    drain(boost::asio::any_io_executor executor, entry_state& state,
          job_runner& runner, peer_watch& watch, peer_link::peer_client& peers);

    /// Closes admission, waits for the running jobs within the drain limit of
    /// the settings, and hands the tables of ids over to a peer.
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<void> wait_for_jobs(time_point deadline);
    boost::asio::awaitable<void> hand_over(time_point drain_deadline);
    boost::asio::awaitable<bool>
    hand_over_table(config::socket_address successor,
                    homes::handover_table const& table,
                    time_point drain_deadline);

    boost::asio::any_io_executor executor_;
    entry_state& state_;
    job_runner& runner_;
    peer_watch& watch_;
    peer_link::peer_client& peers_;
};

} // namespace masticshift::daemon

#endif
