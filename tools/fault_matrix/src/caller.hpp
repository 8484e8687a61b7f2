#ifndef MASTICSHIFT_FAULT_MATRIX_CALLER_HPP
#define MASTICSHIFT_FAULT_MATRIX_CALLER_HPP

#include "submission.hpp"

#include <config/daemon_settings.hpp>
#include <core/time.hpp>
#include <test_support/history_writer.hpp>
#include <transport/http_client.hpp>

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace masticshift::fault_matrix
{

/// State that all callers of a load share. Only the atomics may be used
/// outside the load's thread.
struct load_state
{
    std::vector<config::socket_address> entries;
    unsigned max_submissions = 0;
    test_support::history_writer& records;
    transport::http_client client;
    /// Ids of the submissions that are not settled yet.
    std::multiset<std::string> running;
    std::atomic<bool> stopping = false;
    std::atomic<unsigned> settled = 0;
    std::atomic<unsigned> finished_callers = 0;
};

/// One caller: makes one submission after another and changes to another
/// entry when the current one does not respond.
class caller
{
public:
    caller(load_state& state, unsigned number, unsigned seed);

    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<void> learn_home();
    boost::asio::awaitable<void> submit_next();
    boost::asio::awaitable<void> settle(submission submitted);
    /// Makes one call. Empty if no complete response arrived.
    boost::asio::awaitable<std::optional<history::call_answered>>
    attempt(submission submitted, std::size_t entry);
    void record_failure(submission const& submitted, std::uint64_t call,
                        transport::call_failure const& failed);

    submission make_submission();
    std::string make_input(unsigned task);
    std::size_t other_entry();
    boost::asio::awaitable<void> pause(milliseconds length);

    load_state& state_;
    std::string name_;
    std::mt19937 random_;
    std::size_t entry_;
    std::string token_;
    std::uint64_t last_call_ = 0;
    unsigned submissions_ = 0;
};

} // namespace masticshift::fault_matrix

#endif
