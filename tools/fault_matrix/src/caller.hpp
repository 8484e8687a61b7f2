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

/// What all callers of a load share. Used on the load's thread, but for the
/// atomics.
struct load_state
{
    std::vector<config::socket_address> entries;
    unsigned most_submissions = 0;
    test_support::history_writer& records;
    transport::http_client client;
    /// Ids that are under way.
    std::multiset<std::string> running;
    std::atomic<bool> ends = false;
    std::atomic<unsigned> settled = 0;
    std::atomic<unsigned> finished_callers = 0;
};

/// One caller: submits one thing after another, in turn to entries that
/// answer.
class caller
{
public:
    caller(load_state& state, unsigned number, unsigned seed);

    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<void> learn_home();
    boost::asio::awaitable<void> submit_next();
    boost::asio::awaitable<void> settle(submission what);
    /// One call. Nothing without a whole answer.
    boost::asio::awaitable<std::optional<history::call_answered>>
    attempt(submission what, std::size_t entry);
    void record_failure(submission const& what, std::uint64_t call,
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
