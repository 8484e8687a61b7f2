#ifndef MASTICSHIFT_GATEWAY_JOB_SERVICE_HPP
#define MASTICSHIFT_GATEWAY_JOB_SERVICE_HPP

#include "cancellation_service.hpp"
#include "cell_manager.hpp"

#include <platform/job_codec.hpp>
#include <transport/http_message.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace masticshift::gateway
{

/// Answers callers: forwards each job to the dispatcher of a cell and answers
/// with its result.
class job_service
{
public:
    job_service(gateway_state& state, peer_link::peer_client& peers,
                cell_manager& manager, cancellation_service& cancellations)
        : state_(state),
          peers_(peers),
          cell_manager_(manager),
          cancellations_(cancellations)
    {
    }

    asio::awaitable<transport::http_response>
    answer(transport::http_request request);

    /// Refuses further jobs.
    void close()
    {
        closed_ = true;
    }

    /// Jobs whose callers wait for an answer.
    std::size_t open_jobs() const
    {
        return open_jobs_;
    }

private:
    struct submission;
    using submission_ptr = std::shared_ptr<submission>;
    using cell_dispatchers = std::vector<dispatch::cell_dispatcher>;

    asio::awaitable<transport::http_response>
    submit(transport::http_request request,
           platform::caller_request const& call,
           dispatch::queue_settings const& queue);
    asio::awaitable<transport::http_response> cancel(std::string id);
    asio::awaitable<dispatch::job_result> dispatch(submission_ptr job);
    asio::awaitable<dispatch::job_result> call_dispatcher(submission_ptr job);
    /// Whether all data centres with endpoints of the service are evacuated.
    bool is_evacuated(std::string const& service) const;
    bool choose_cell(submission& job, cell_dispatchers const& cells);
    /// The refusal of a job that no cell can serve in time, if the claims show
    /// it.
    std::optional<dispatch::job_result>
    refuse_by_claims(submission const& job, cell_dispatchers const& cells);
    /// Whether the caller still waits for the answer.
    bool is_wanted(submission& job);
    void handle_caller_gone(submission_ptr const& job);
    void withdraw(submission_ptr const& job);
    /// Withdraws a job from another entry.
    void begin_withdrawal(submission const& job);
    static asio::awaitable<void>
    send_withdrawal(job_service& self, std::string dispatcher,
                    dispatch::job_withdrawal withdrawal);
    transport::http_response reject(transport::http_response response,
                                    platform::caller_request const& call,
                                    result_code reason,
                                    std::string const& detail);

    gateway_state& state_;
    peer_link::peer_client& peers_;
    cell_manager& cell_manager_;
    cancellation_service& cancellations_;
    std::size_t open_jobs_ = 0;
    /// Ids of the open jobs. A caller may submit one again meanwhile.
    std::multiset<std::string> open_ids_;
    std::int64_t last_submission_ = 0;
    bool closed_ = false;
};

} // namespace masticshift::gateway

#endif
