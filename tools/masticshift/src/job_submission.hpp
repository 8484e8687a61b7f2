#ifndef MASTICSHIFT_CLI_JOB_SUBMISSION_HPP
#define MASTICSHIFT_CLI_JOB_SUBMISSION_HPP

#include "entry_answer.hpp"
#include "options.hpp"
#include "report.hpp"
#include "session.hpp"
#include "submit_step.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/json/array.hpp>

#include <cstddef>
#include <string>

namespace masticshift::cli
{

/// Limits on the calls that submit one job.
struct submit_limits
{
    unsigned attempts = 10;
    /// Doubled after each attempt, up to `max_retry_delay`.
    milliseconds first_retry_delay{100};
    milliseconds max_retry_delay{2'000};
    milliseconds home_timeout{2'000};
    /// Time to wait for the answer after the timeout of the job.
    milliseconds answer_grace{5'000};
    /// Time to wait for the answer of a job without a timeout.
    milliseconds default_answer_timeout{60'000};
};

/// Submits one job to one entry after the other until one answers it.
///
/// The session and the options must outlive the coroutine.
class job_submission
{
public:
    job_submission(session& calls, options const& command_line,
                   boost::json::array tasks, submit_limits limits);

    boost::asio::awaitable<report> run(time_point now);

private:
    boost::asio::awaitable<submit_step> attempt(time_point now);
    boost::asio::awaitable<outcome<std::string>> fetch_home();
    boost::asio::awaitable<call_outcome> send();
    call_outcome record_result(transport::call_result const& result);

    void set_id(std::string const& id, time_point now);
    void discard_id();
    void use_next_entry();
    void record_failure(failure const& error);
    bool is_past_deadline(time_point now) const;
    config::socket_address const& entry() const;
    milliseconds retry_delay_before(unsigned attempt) const;
    milliseconds answer_timeout() const;
    report final_report() const;

    session& calls_;
    options const& command_line_;
    boost::json::array tasks_;
    submit_limits limits_;
    std::size_t entry_ = 0;
    std::string id_;
    /// Request body. The same for each call with this id, since entries refuse
    /// a reused id with another body.
    std::string body_;
    /// Whether an earlier call may have sent the id.
    bool sent_before_ = false;
    time_point start_;
    /// Result of the last call.
    report last_;
};

} // namespace masticshift::cli

#endif
