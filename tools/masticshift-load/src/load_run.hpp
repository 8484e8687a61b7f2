#ifndef MASTICSHIFT_LOAD_LOAD_RUN_HPP
#define MASTICSHIFT_LOAD_LOAD_RUN_HPP

#include "caller.hpp"
#include "load_results.hpp"

#include <optional>

namespace masticshift::load
{

/// Runs one scenario against entries that are already running.
class load_run
{
public:
    load_run(boost::asio::any_io_executor const& executor, scenario const& plan,
             caller_options options);

    load_run(load_run const&) = delete;
    load_run& operator=(load_run const&) = delete;

    /// Fails when an entry returns no home token at the start.
    boost::asio::awaitable<outcome<void>> run();

    load_results const& results() const;

private:
    using readings = std::vector<std::optional<message_counts>>;

    boost::asio::awaitable<void> send_all();
    boost::asio::awaitable<void> run_job(planned_job job, duration due);
    boost::asio::awaitable<void> run_actions();
    boost::asio::awaitable<void> post(load_action const& action);
    boost::asio::awaitable<void> wait_for_answers();
    boost::asio::awaitable<readings> read_messages();
    boost::asio::awaitable<void> wait_until(time_point when);
    void count_messages(readings const& before, readings const& after);

    boost::asio::any_io_executor executor_;
    scenario const& plan_;
    caller caller_;
    transport::http_client operator_client_;
    load_results results_;
    time_point start_;
};

} // namespace masticshift::load

#endif
