#ifndef MASTICSHIFT_GATEWAY_SOAK_SOAK_CALLERS_HPP
#define MASTICSHIFT_GATEWAY_SOAK_SOAK_CALLERS_HPP

#include <config/daemon_settings.hpp>
#include <test_support/network_thread.hpp>
#include <transport/http_client.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace masticshift::gateway_soak
{

/// How long callers wait for an answer.
inline constexpr milliseconds caller_timeout{2'500};
inline constexpr milliseconds short_caller_timeout{1'500};

/// Counts of submitted jobs and of the answers to them.
struct caller_report
{
    std::size_t sent = 0;
    std::size_t completed = 0;
    std::size_t failed = 0;
    /// Submissions answered with 502.
    std::size_t unknown = 0;
    /// Submissions without a response.
    std::size_t broken = 0;
    /// Refused jobs that cannot have started: every earlier submission was
    /// refused too, or was not sent.
    std::vector<std::string> refused;
    /// Answers that the published protocol does not allow.
    std::vector<std::string> unexpected;
};

/// Callers that submit jobs and submit them again after a lost answer.
class soak_callers
{
public:
    soak_callers(test_support::network_thread& network, milliseconds timeout);
    ~soak_callers();

    /// Submits a job with this number of tasks to a gateway. After a lost
    /// answer the job is submitted again, to `retry_address`.
    void submit(std::uint64_t number, int tasks, config::socket_address address,
                config::socket_address retry_address);

    /// Number of jobs without an answer.
    std::size_t open() const
    {
        return open_;
    }

    caller_report report() const;

private:
    class job;

    void record(std::string const& id, transport::http_response const& response,
                bool refused_only);

    test_support::network_thread& network_;
    milliseconds timeout_;
    std::unique_ptr<transport::http_client> client_;
    std::atomic<std::size_t> open_{0};
    mutable std::mutex mutex_;
    caller_report report_;
};

} // namespace masticshift::gateway_soak

#endif
