#ifndef MASTICSHIFT_GATEWAY_CANCELLATION_SERVICE_HPP
#define MASTICSHIFT_GATEWAY_CANCELLATION_SERVICE_HPP

#include "cell_manager.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace masticshift::gateway
{

/// What is known of a cancelled job.
enum class cancellation_outcome
{
    /// A dispatcher had it, or it was cancelled before.
    known,
    /// No dispatcher has it.
    unknown,
    /// A dispatcher that may have it has not responded yet.
    unacknowledged
};

char const* name_of(cancellation_outcome outcome);

/// Cancels jobs for callers, at whichever entry they are. Any cell may have a
/// job, so that the dispatchers of all cells are told, and also those that take
/// a cell over while the cancellation is remembered.
class cancellation_service
{
public:
    cancellation_service(gateway_state& state, peer_link::peer_client& peers,
                         cell_manager& manager)
        : state_(state), peers_(peers), cell_manager_(manager)
    {
    }

    /// Returns once all known dispatchers have responded, or after a second.
    asio::awaitable<cancellation_outcome> cancel(std::string id);

    /// Repeats the messages that were not acknowledged.
    asio::awaitable<void> run();

private:
    /// Address and claim number: the claim of a cell by one process.
    using claim_key = std::pair<std::string, std::int64_t>;

    struct cancellation
    {
        cancellation(asio::any_io_executor const& executor, std::string job,
                     time_point time)
            : responded(executor, asio::steady_timer::time_point::max()),
              id(std::move(job)),
              requested(time)
        {
        }

        /// Cancelled whenever a dispatcher has responded.
        asio::steady_timer responded;
        std::string id;
        time_point requested;
        std::set<claim_key> acknowledged;
        /// Addresses of dispatchers that a message is on its way to.
        std::set<std::string> in_transit;
        bool known = false;
    };

    using cancellation_ptr = std::shared_ptr<cancellation>;

    /// Sends the message to the dispatchers that have not acknowledged it.
    void send(cancellation_ptr const& open);
    /// Whether at least one dispatcher is known, and all have acknowledged it.
    bool is_acknowledged(cancellation const& open, time_point now) const;
    static asio::awaitable<void> call_dispatcher(cancellation_service& self,
                                                 cancellation_ptr open,
                                                 std::string address,
                                                 std::set<claim_key> claims);

    gateway_state& state_;
    peer_link::peer_client& peers_;
    cell_manager& cell_manager_;
    std::map<std::string, cancellation_ptr> open_;
};

} // namespace masticshift::gateway

#endif
