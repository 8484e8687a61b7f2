#include "caller.hpp"

#include <history/codec.hpp>
#include <history/digest.hpp>

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <cmath>

namespace masticshift::load
{

namespace
{

namespace asio = boost::asio;
using transport::call_checks;
using transport::call_result;
using transport::call_stage;
using transport::http_request;

constexpr std::string_view home_header = "Masticshift-Home";
constexpr milliseconds home_timeout{5'000};
/// Time to wait for the answer after the timeout of the job.
constexpr milliseconds answer_grace{5'000};
constexpr milliseconds resubmission_delay{100};

transport::http_client_limits client_limits()
{
    transport::http_client_limits limits;
    limits.max_body_bytes = 64 << 20;
    // Shorter than the time after which entries close idle connections (60 s by
    // default).
    limits.idle = milliseconds(30'000);
    return limits;
}

call_end end_of(transport::call_failure const& failed)
{
    if (failed.stage != call_stage::written)
        return call_end::not_sent;
    return failed.error.code == result_code::deadline_passed
               ? call_end::timed_out
               : call_end::broken;
}

} // namespace

caller::caller(asio::any_io_executor executor, scenario const& plan,
               caller_options options)
    : executor_(executor),
      plan_(plan),
      options_(std::move(options)),
      client_(std::move(executor), client_limits()),
      homes_(plan.entries.size())
{
}

asio::awaitable<outcome<void>> caller::fetch_homes()
{
    call_checks const no_checks;
    for (std::size_t i = 0; i < homes_.size(); ++i)
    {
        auto const address = plan_.entries[i].address;
        http_request request;
        request.target = "/v1/home";
        auto const deadline = steady_clock::now() + home_timeout;
        auto const answer = co_await client_.call(address.ip, address.port,
                                                  request, deadline, no_checks);
        if (answer)
            homes_[i] = answer->fields[home_header];
        if (homes_[i].empty())
            co_return failure{result_code::not_ready,
                              to_string(address) + " returned no home token"};
    }
    co_return boost::system::in_place_value;
}

asio::awaitable<job_outcome> caller::run(planned_job job)
{
    submission sent{new_id(job.entry), job.entry};
    asio::steady_timer retry_timer(executor_);
    job_outcome outcome;
    for (unsigned calls = 1;; ++calls)
    {
        open_[job.number] = sent;
        outcome = co_await send(job, sent);
        outcome.calls = calls;
        bool const was_sent = outcome.end != call_end::not_sent;
        if (calls > plan_.resubmissions || (was_sent && !is_open(outcome)))
            break;
        sent.entry = (sent.entry + 1) % homes_.size();
        if (!was_sent)
            sent.id = new_id(sent.entry);
        retry_timer.expires_after(resubmission_delay);
        co_await retry_timer.async_wait(asio::use_awaitable);
    }
    open_.erase(job.number);
    co_return outcome;
}

std::size_t caller::cancel(double fraction)
{
    auto cancel_count = static_cast<std::size_t>(
        std::llround(fraction * static_cast<double>(open_.size())));
    std::size_t cancelled = 0;
    for (auto const& [number, sent] : open_)
    {
        if (cancelled == cancel_count)
            break;
        asio::co_spawn(executor_, send_cancellation(sent), asio::detached);
        ++cancelled;
    }
    return cancelled;
}

std::size_t caller::open_jobs() const
{
    return open_.size();
}

asio::awaitable<job_outcome> caller::send(planned_job const& job,
                                          submission const& sent)
{
    auto const call = calls_++;
    auto const& address = plan_.entries[sent.entry].address;
    auto const request = make_submission(plan_, job, sent.id);
    record_sent(call, job, sent);
    call_checks const no_checks;
    auto const deadline = steady_clock::now() + plan_.timeout + answer_grace;
    auto const result = co_await client_.call(address.ip, address.port, request,
                                              deadline, no_checks);
    co_return take_answer(call, sent, result);
}

job_outcome caller::take_answer(std::uint64_t call, submission const& sent,
                                call_result const& result)
{
    job_outcome outcome;
    outcome.ended = steady_clock::now();
    if (!result)
    {
        outcome.end = end_of(result.error());
        if (outcome.end == call_end::broken)
            record(history::call_broken{call, sent.id});
        return outcome;
    }
    auto const home = result->fields[home_header];
    if (!home.empty())
        homes_[sent.entry] = home;
    auto answer =
        read_submission_answer(plan_, *result, options_.records_history);
    outcome.end = answer.end;
    outcome.code = answer.content.code;
    outcome.ran = answer.content.ran;
    answer.content.call = call;
    // Incomplete answers are recorded too, because the history checker has to
    // see them.
    if (!answer.content.id.empty())
        record(answer.content);
    return outcome;
}

asio::awaitable<void> caller::send_cancellation(submission sent)
{
    auto const& address = plan_.entries[sent.entry].address;
    http_request request;
    request.method = "DELETE";
    request.target = "/v1/jobs/" + transport::percent_encode(sent.id);
    call_checks const no_checks;
    auto const deadline = steady_clock::now() + plan_.timeout + answer_grace;
    co_await client_.call(address.ip, address.port, request, deadline,
                          no_checks);
}

std::string caller::new_id(std::size_t entry)
{
    return homes_[entry] + "." + options_.nonce_prefix + "-" +
           std::to_string(ids_++);
}

void caller::record_sent(std::uint64_t call, planned_job const& job,
                         submission const& sent) const
{
    if (!options_.records_history)
        return;
    history::call_sent content;
    content.call = call;
    content.id = sent.id;
    content.entry = to_string(plan_.entries[sent.entry].address);
    content.service = plan_.service;
    content.kind = plan_.kind;
    content.idempotent = plan_.idempotent;
    for (auto const& task : job.tasks)
        content.inputs.push_back(history::digest_of(task.input));
    record(content);
}

void caller::record(history::event const& content) const
{
    if (options_.records_history)
        history::write(content);
}

} // namespace masticshift::load
