#include "load_run.hpp"

#include "arrival_process.hpp"

#include <boost/asio.hpp>

#include <cstdio>

namespace masticshift::load
{

namespace
{

namespace asio = boost::asio;
using transport::call_checks;
using transport::http_request;

constexpr milliseconds operator_timeout{5'000};
/// Delay of the start, so that the first arrivals are sent on time.
constexpr milliseconds start_delay{50};
constexpr milliseconds settle_poll_interval{20};
constexpr unsigned status_ok = 200;

} // namespace

load_run::load_run(asio::any_io_executor const& executor, scenario const& plan,
                   caller_options options)
    : executor_(executor),
      plan_(plan),
      caller_(executor, plan, std::move(options)),
      operator_client_(executor, {}),
      results_(plan)
{
}

asio::awaitable<outcome<void>> load_run::run()
{
    auto const reached = co_await caller_.fetch_homes();
    if (!reached)
        co_return reached;
    auto const before = co_await read_messages();
    start_ = steady_clock::now() + start_delay;
    asio::co_spawn(executor_, run_actions(), asio::detached);
    co_await send_all();
    co_await wait_for_answers();
    auto const after = co_await read_messages();
    count_messages(before, after);
    co_return boost::system::in_place_value;
}

load_results const& load_run::results() const
{
    return results_;
}

asio::awaitable<void> load_run::send_all()
{
    arrival_process arrivals(plan_);
    job_source jobs(plan_);
    while (auto const due = arrivals.next())
    {
        auto job = jobs.next();
        co_await wait_until(start_ + *due);
        asio::co_spawn(executor_, run_job(std::move(job), *due),
                       asio::detached);
    }
}

asio::awaitable<void> load_run::run_job(planned_job job, duration due)
{
    auto const lag = steady_clock::now() - (start_ + due);
    results_.send_lag_ms.add(to_milliseconds(lag));
    auto const outcome = co_await caller_.run(job);
    results_.add(job, due, start_, outcome);
}

asio::awaitable<void> load_run::run_actions()
{
    for (auto const& action : plan_.actions)
    {
        co_await wait_until(start_ + action.at);
        if (action.kind == action_kind::cancel_wave)
            results_.cancellations += caller_.cancel(action.part);
        else
            co_await post(action);
    }
}

asio::awaitable<void> load_run::post(load_action const& action)
{
    http_request request;
    request.method = "POST";
    request.target = action.path;
    request.body = action.body;
    call_checks const no_checks;
    auto const deadline = steady_clock::now() + operator_timeout;
    auto const answer = co_await operator_client_.call(
        action.address.ip, action.address.port, request, deadline, no_checks);
    bool const done = answer && answer->status < 300;
    if (!done)
        std::fprintf(stderr, "action failed, continuing: POST %s%s\n",
                     to_string(action.address).c_str(), action.path.c_str());
}

/// Waits for the jobs that are still open, at most for the time `settle` of the
/// scenario.
asio::awaitable<void> load_run::wait_for_answers()
{
    auto const limit = steady_clock::now() + plan_.settle;
    while (caller_.open_jobs() > 0 && steady_clock::now() < limit)
        co_await wait_until(steady_clock::now() + settle_poll_interval);
    results_.unanswered = caller_.open_jobs();
}

asio::awaitable<load_run::readings> load_run::read_messages()
{
    readings read;
    call_checks const no_checks;
    for (auto const& entry : plan_.entries)
    {
        auto& found = read.emplace_back();
        auto const& address = entry.operator_address;
        if (address.port == 0)
            continue;
        http_request request;
        request.target = "/metrics";
        auto const deadline = steady_clock::now() + operator_timeout;
        auto const answer = co_await operator_client_.call(
            address.ip, address.port, request, deadline, no_checks);
        if (answer && answer->status == status_ok)
            found = parse_message_counts(answer->body);
    }
    co_return read;
}

asio::awaitable<void> load_run::wait_until(time_point when)
{
    if (when <= steady_clock::now())
        co_return;
    asio::steady_timer timer(executor_, when - steady_clock::now());
    co_await timer.async_wait(asio::use_awaitable);
}

void load_run::count_messages(readings const& before, readings const& after)
{
    for (std::size_t i = 0; i < before.size(); ++i)
    {
        if (before[i] && after[i])
            results_.messages.add(difference(*before[i], *after[i]));
        else
            ++results_.entries_without_metrics;
    }
}

} // namespace masticshift::load
