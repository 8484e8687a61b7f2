#include "soak_callers.hpp"

#include <test_support/gateway_standin.hpp>

#include <boost/asio.hpp>

#include <array>
#include <cstdio>

namespace masticshift::gateway_soak
{

namespace
{

namespace asio = boost::asio;

/// Resubmission as callers of the deployments have it.
constexpr milliseconds resubmission_pause{1'300};
constexpr int max_submissions = 3;

} // namespace

class soak_callers::job
{
public:
    static asio::awaitable<void> run(soak_callers& owner, std::string id,
                                     int tasks, config::socket_address address,
                                     config::socket_address retry_address)
    {
        bool refused_only = true;
        for (int submissions = 0; submissions < max_submissions; ++submissions)
        {
            auto const result = co_await owner.client_->call(
                address.ip, address.port,
                test_support::make_job_request(id, tasks, owner.timeout_),
                steady_clock::now() + owner.timeout_);
            refused_only = refused_only && is_refused(result);
            if (result && result->status != 502)
            {
                owner.record(id, *result, refused_only);
                break;
            }
            {
                std::lock_guard const lock(owner.mutex_);
                ++(result ? owner.report_.unknown : owner.report_.broken);
            }
            asio::steady_timer timer(co_await asio::this_coro::executor,
                                     resubmission_pause);
            co_await timer.async_wait(asio::use_awaitable);
            address = retry_address;
        }
        --owner.open_;
    }

private:
    /// Whether this submission cannot have started the job.
    static bool is_refused(transport::call_result const& result)
    {
        if (!result)
            return result.error().stage != transport::call_stage::written;
        return result->status == 503 || result->status == 429;
    }
};

soak_callers::soak_callers(test_support::network_thread& network,
                           milliseconds timeout)
    : network_(network), timeout_(timeout)
{
    network_.run(
        [this]
        {
            client_ = std::make_unique<transport::http_client>(
                network_.executor(), transport::http_client_limits{});
        });
}

soak_callers::~soak_callers()
{
    network_.run(
        [this]
        {
            client_.reset();
        });
}

void soak_callers::submit(std::uint64_t number, int tasks,
                          config::socket_address address,
                          config::socket_address retry_address)
{
    std::array<char, 17> id{};
    std::snprintf(id.data(), id.size(), "%016llx",
                  static_cast<unsigned long long>(number));
    ++open_;
    {
        std::lock_guard const lock(mutex_);
        ++report_.sent;
    }
    asio::co_spawn(network_.executor(),
                   job::run(*this, id.data(), tasks, std::move(address),
                            std::move(retry_address)),
                   asio::detached);
}

void soak_callers::record(std::string const& id,
                          transport::http_response const& response,
                          bool refused_only)
{
    std::lock_guard const lock(mutex_);
    if (response.status == 200 && response.body == R"({"state":"completed"})")
        ++report_.completed;
    else if (response.status == 200 && response.body == R"({"state":"failed"})")
        ++report_.failed;
    else if (response.status == 503 || response.status == 429)
    {
        if (refused_only)
            report_.refused.push_back(id);
        if (response.fields["Retry-After"].empty())
            report_.unexpected.push_back(id +
                                         " was refused without Retry-After");
    }
    else
        report_.unexpected.push_back(id + " got " +
                                     std::to_string(response.status) + " " +
                                     response.body);
}

caller_report soak_callers::report() const
{
    std::lock_guard const lock(mutex_);
    return report_;
}

} // namespace masticshift::gateway_soak
