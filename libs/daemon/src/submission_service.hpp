#ifndef MASTICSHIFT_DAEMON_SUBMISSION_SERVICE_HPP
#define MASTICSHIFT_DAEMON_SUBMISSION_SERVICE_HPP

#include "entry_state.hpp"
#include "job_runner.hpp"
#include "submission.hpp"

#include <homes/submission_router.hpp>
#include <peer_link/peer_client.hpp>
#include <peer_link/wire.hpp>

#include <boost/asio/awaitable.hpp>

#include <string>
#include <unordered_map>

namespace masticshift::daemon
{

/// What a call on a submission is answered.
struct call_answer
{
    /// As the caller gave it, or as this entry formed it.
    std::string id;
    homes::answer_ptr answer;
};

/// The longest time that a caller may ask to wait for an answer.
constexpr milliseconds longest_wait{60'000};

/// Takes calls on submissions and answers them: from this entry's own table,
/// from the table of a stopped process, or by asking the home of the id.
class submission_service
{
public:
    submission_service(boost::asio::any_io_executor executor,
                       entry_state& state, job_runner& runner,
                       peer_link::peer_client& peers);

    boost::asio::awaitable<call_answer> submit(submission_call call,
                                               homes::call_origin origin);

    /// Waits at most `wait` for the answer of a running job.
    boost::asio::awaitable<call_answer> fetch(std::string id, milliseconds wait,
                                              homes::call_origin origin);

    boost::asio::awaitable<call_answer> cancel(std::string id,
                                               homes::call_origin origin);

    /// To be called when a job has ended: keeps its answer.
    void keep_answer(job& ended);

private:
    /// What this entry knows of an id: an answer, a job that runs, or whom
    /// to ask.
    struct lookup
    {
        call_answer answered;
        job_ptr running;
        /// Peer address of the entry to ask.
        std::string home;
    };

    lookup look_up(std::string const& id, homes::call_origin origin) const;
    job_ptr find_running(homes::submission_number number) const;
    boost::asio::awaitable<call_answer> submit_local(submission what,
                                                     homes::submission_id id);
    job_ptr start(submission what, homes::submission_id const& id,
                  homes::submission_number number, time_point now);
    boost::asio::awaitable<call_answer>
    forward(std::string address, wire::forward call, duration answer_time);
    boost::asio::awaitable<void> wait_for_end(job_ptr running);
    boost::asio::awaitable<void> wait_for_end(job_ptr running,
                                              milliseconds limit);

    homes::submission_id mint_id();
    milliseconds timeout_of(submission const& what) const;

    boost::asio::any_io_executor executor_;
    entry_state& state_;
    job_runner& runner_;
    peer_link::peer_client& peers_;
    /// Jobs that run, by the number of the submission table.
    std::unordered_map<homes::submission_number, job_ptr> running_;
};

} // namespace masticshift::daemon

#endif
