#ifndef MASTICSHIFT_LOAD_CALLER_HPP
#define MASTICSHIFT_LOAD_CALLER_HPP

#include "job_message.hpp"

#include <transport/http_client.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <map>
#include <string>
#include <vector>

namespace masticshift::load
{

struct caller_options
{
    /// Prefix that makes the ids of this run differ from those of other runs.
    std::string nonce_prefix;
    /// Whether calls are recorded in the history.
    bool records_history = false;
};

/// Submits jobs as docs/API.md requires of a caller.
class caller
{
public:
    caller(boost::asio::any_io_executor executor, scenario const& plan,
           caller_options options);

    caller(caller const&) = delete;
    caller& operator=(caller const&) = delete;

    /// Fetches the home token of each entry. Fails when an entry returns none.
    boost::asio::awaitable<outcome<void>> fetch_homes();

    /// Submits a job until it is answered or its resubmissions are used up.
    boost::asio::awaitable<job_outcome> run(planned_job job);

    /// Cancels this fraction of the open jobs. Returns their number.
    std::size_t cancel(double fraction);

    /// Number of jobs whose `run` has not returned.
    std::size_t open_jobs() const;

private:
    struct submission
    {
        std::string id;
        std::size_t entry = 0;
    };

    boost::asio::awaitable<job_outcome> send(planned_job const& job,
                                             submission const& sent);
    boost::asio::awaitable<void> send_cancellation(submission sent);
    job_outcome take_answer(std::uint64_t call, submission const& sent,
                            transport::call_result const& result);
    std::string new_id(std::size_t entry);
    void record_sent(std::uint64_t call, planned_job const& job,
                     submission const& sent) const;
    void record(history::event const& content) const;

    boost::asio::any_io_executor executor_;
    scenario const& plan_;
    caller_options options_;
    transport::http_client client_;
    /// Home tokens, by index of the entry.
    std::vector<std::string> homes_;
    std::map<std::uint64_t, submission> open_;
    std::uint64_t ids_ = 0;
    std::uint64_t calls_ = 0;
};

} // namespace masticshift::load

#endif
