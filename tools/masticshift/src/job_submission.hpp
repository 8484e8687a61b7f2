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

/// Bounds on the calls that one job makes.
struct submit_limits
{
    unsigned attempts = 10;
    /// Doubled after each attempt.
    milliseconds first_pause{100};
    milliseconds longest_pause{2'000};
    milliseconds home_timeout{2'000};
    /// Time for the answer beyond the job's own.
    milliseconds answer_grace{5'000};
    /// Time for the answer where the job names none.
    milliseconds default_answer{60'000};
};

/// Submits one job until it is answered, at one entry after the other.
///
/// The session and the options must outlive the coroutine.
class job_submission
{
public:
    job_submission(session& calls, options const& given,
                   boost::json::array tasks, submit_limits limits);

    boost::asio::awaitable<report> run(time_point now);

private:
    boost::asio::awaitable<submit_step> attempt(time_point now);
    boost::asio::awaitable<outcome<std::string>> fetch_home();
    boost::asio::awaitable<call_outcome> send();
    call_outcome note_answer(transport::call_result const& result);

    void begin_id(std::string const& id, time_point now);
    void abandon_id();
    void use_next_entry();
    void note_failure(failure const& error);
    bool is_late(time_point now) const;
    config::socket_address const& entry() const;
    milliseconds pause_before(unsigned attempt) const;
    milliseconds answer_timeout() const;
    report give_up() const;

    session& calls_;
    options const& given_;
    boost::json::array tasks_;
    submit_limits limits_;
    std::size_t entry_ = 0;
    std::string id_;
    /// The same for each call with this id.
    std::string body_;
    bool sent_before_ = false;
    time_point start_;
    /// Of the last call.
    report last_;
};

} // namespace masticshift::cli

#endif
