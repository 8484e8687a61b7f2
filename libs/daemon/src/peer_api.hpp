#ifndef MASTICSHIFT_DAEMON_PEER_API_HPP
#define MASTICSHIFT_DAEMON_PEER_API_HPP

#include "configuration_holder.hpp"
#include "entry_state.hpp"
#include "job_runner.hpp"
#include "submission_service.hpp"

#include <peer_link/wire.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace masticshift::daemon
{

/// Handles the calls of other entries.
class peer_api
{
public:
    using heartbeat_handler =
        std::function<outcome<wire::heartbeat_reply>(wire::heartbeat const&)>;

    peer_api(entry_state& state, submission_service& submissions,
             job_runner& runner, heartbeat_handler on_heartbeat);

    boost::asio::awaitable<wire::message> handle(wire::message call);

private:
    boost::asio::awaitable<wire::message> forward(wire::forward call);
    wire::message heartbeat(wire::heartbeat const& call);
    wire::message borrow(wire::borrow const& call);
    wire::message give_back(wire::give_back const& call);
    wire::message fetch_text();
    wire::message hand_over(wire::handover call);

    entry_state& state_;
    submission_service& submissions_;
    job_runner& runner_;
    heartbeat_handler on_heartbeat_;
};

} // namespace masticshift::daemon

#endif
