#ifndef MASTICSHIFT_DAEMON_CANCEL_BATCH_HPP
#define MASTICSHIFT_DAEMON_CANCEL_BATCH_HPP

#include <config/daemon_settings.hpp>
#include <core/time.hpp>
#include <transport/http_client.hpp>

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace masticshift::daemon
{

/// Sends cancellations of tasks to endpoints. Cancellations of one endpoint
/// that are added within a short time window go into one message, so that many
/// cancellations at once cause few messages.
class cancel_batch
{
public:
    cancel_batch(boost::asio::any_io_executor executor,
                 transport::http_client& client, std::uint64_t& messages_sent);

    void add(config::socket_address const& endpoint, std::string label);

private:
    using address = std::pair<std::string, std::uint16_t>;

    void flush();
    boost::asio::awaitable<void> send(address endpoint,
                                      std::vector<std::string> labels);

    boost::asio::any_io_executor executor_;
    transport::http_client& client_;
    std::uint64_t& messages_sent_;
    boost::asio::steady_timer flush_timer_;
    std::map<address, std::vector<std::string>> labels_;
};

} // namespace masticshift::daemon

#endif
