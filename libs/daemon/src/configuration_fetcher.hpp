#ifndef MASTICSHIFT_DAEMON_CONFIGURATION_FETCHER_HPP
#define MASTICSHIFT_DAEMON_CONFIGURATION_FETCHER_HPP

#include "configuration_holder.hpp"
#include "entry_state.hpp"

#include <membership/configuration_tracker.hpp>
#include <peer_link/peer_client.hpp>
#include <store/configuration_store.hpp>
#include <store/http_platform.hpp>
#include <store/timer_wait.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace masticshift::daemon
{

using configuration_store =
    store::configuration_store<store::http_platform, store::timer_wait>;

/// Fetches configurations that are newer than the one in force, from a peer or
/// from the platform, and puts them in force.
class configuration_fetcher
{
public:
    configuration_fetcher(boost::asio::any_io_executor executor,
                          entry_state& state,
                          membership::configuration_tracker& tracker,
                          configuration_holder& holder,
                          configuration_store& store,
                          peer_link::peer_client& peers);

    /// Starts the next fetch, if one is due.
    void start_next(time_point now);

private:
    struct fetched_text
    {
        std::uint64_t revision = 0;
        std::string text;
    };

    boost::asio::awaitable<void> fetch(membership::configuration_fetch request);
    boost::asio::awaitable<outcome<fetched_text>>
    fetch_from(membership::configuration_source source);
    boost::asio::awaitable<outcome<fetched_text>> fetch_from_platform();
    boost::asio::awaitable<outcome<fetched_text>>
    fetch_from_peer(std::string peer);
    void apply(membership::configuration_source const& source,
               fetched_text const& fetched, time_point now);

    boost::asio::any_io_executor executor_;
    entry_state& state_;
    membership::configuration_tracker& tracker_;
    configuration_holder& holder_;
    configuration_store& store_;
    peer_link::peer_client& peers_;
};

} // namespace masticshift::daemon

#endif
