#ifndef MASTICSHIFT_DAEMON_LENDING_HPP
#define MASTICSHIFT_DAEMON_LENDING_HPP

#include "entry_state.hpp"
#include "job_runner.hpp"

#include <peer_link/peer_client.hpp>

#include <boost/asio/awaitable.hpp>

namespace masticshift::daemon
{

/// Makes the calls to other entries with which the placement engine borrows
/// slots and returns them.
class lending
{
public:
    lending(boost::asio::any_io_executor executor, entry_state& state,
            peer_link::peer_client& peers);

    /// Must be called before the first borrow. `runner` is notified when loans
    /// have arrived.
    void connect(job_runner& runner);

    void borrow(placement::borrow_request request);
    void give_back(placement::returned_loans returned);

private:
    boost::asio::awaitable<void> call_lender(placement::borrow_request request);
    boost::asio::awaitable<void>
    return_loans(placement::returned_loans returned);
    void accept_loans(placement::borrow_request const& request,
                      std::vector<placement::loan> const& loans);

    boost::asio::any_io_executor executor_;
    entry_state& state_;
    peer_link::peer_client& peers_;
    job_runner* runner_ = nullptr;
};

} // namespace masticshift::daemon

#endif
