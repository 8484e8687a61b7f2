#include "job_service.hpp"

#include "peer_wire.hpp"

#include <core/log.hpp>
#include <dispatch/cell_choice.hpp>

#include <algorithm>
#include <utility>

namespace masticshift::gateway
{

namespace
{

/// How long a job waits for a dispatcher. A cell has a new dispatcher within
/// 600 ms, but the wait must stay below a quarter of the longest latency
/// objective, 1,500 ms, which is 375 ms.
constexpr milliseconds dispatcher_wait{350};
constexpr milliseconds dispatcher_pause{20};

/// A caller that got no response submits its job again after 1,300 ms at the
/// earliest. A request that may have waited longer than this is refused: its
/// runs could not be stopped before that.
constexpr milliseconds longest_unread{1'000};

/// A job is sent again at once after this many refusals as outdated.
constexpr int max_outdated = 2;

/// When the caller should retry if there is no dispatcher.
constexpr milliseconds no_dispatcher_retry{1'000};

/// When the caller should retry if every data centre is evacuated: the largest
/// value that refusals have. The end of an evacuation is not known.
constexpr milliseconds evacuated_retry{5'000};

/// The dispatcher ends a job at its caller's timeout. This is the additional
/// time for its response to arrive.
constexpr milliseconds answer_margin{500};

/// A withdrawal without a response in this time is sent again, unless a
/// heartbeat has brought it meanwhile.
constexpr milliseconds withdrawal_timeout{150};

} // namespace

struct job_service::submission
{
    dispatch::job_spec job;
    time_point accepted;
    /// Entry and cell that the job was last sent to.
    std::string dispatcher;
    std::string cell;
    dispatch::tried_cells tried;
    /// The last choice, if any cell was chosen.
    std::optional<dispatch::chosen_cell> choice;
    /// Refusals because the reading of the dispatcher's clock was too old.
    int outdated = 0;
    std::weak_ptr<transport::disconnect_notifier> caller;
    bool caller_gone = false;
};

transport::http_response
job_service::reject(transport::http_response response,
                    platform::caller_request const& call, result_code reason,
                    std::string const& detail)
{
    state_.metrics.rejected_calls.add();
    log_event(log_level::info, "call_rejected",
              {{"path", call.path},
               {"status", response.status},
               {"code", static_cast<int>(reason)},
               {"version", state_.configuration_version},
               {"detail", detail}});
    return response;
}

asio::awaitable<transport::http_response>
job_service::answer(transport::http_request request)
{
    constexpr unsigned unavailable = 503;
    constexpr unsigned bad_request = 400;
    constexpr unsigned not_allowed = 405;
    auto const call = platform::decode_caller_request(request);
    auto const delay = state_.input.longest(steady_clock::now());
    if (delay > longest_unread && call.call == platform::caller_call::submit)
        co_return reject(
            platform::encode_refusal(unavailable, no_dispatcher_retry), call,
            result_code::request_waited,
            std::to_string(to_milliseconds(delay)) + " ms");
    if (closed_)
        co_return reject(
            platform::encode_refusal(unavailable, no_dispatcher_retry), call,
            result_code::draining, "");
    if (state_.configuration_version == 0)
        co_return reject(
            platform::encode_refusal(unavailable, no_dispatcher_retry), call,
            result_code::not_ready, "no configuration");
    auto const* const found = state_.queues.find(call.host, call.path);
    if (found == nullptr)
        co_return reject(platform::encode_no_such_queue(), call,
                         result_code::path_not_found, "no such queue");
    // Copied, because the index may be replaced while the job waits.
    auto const queue = *found;
    switch (call.call)
    {
    case platform::caller_call::submit:
        if (platform::job_id_of(call.path, queue.path_prefix).empty())
            co_return reject(
                platform::encode_refusal(bad_request, milliseconds(0)), call,
                result_code::id_malformed, "the path contains no valid job id");
        co_return co_await submit(std::move(request), call, queue);
    case platform::caller_call::count_waiting:
        // A job is answered only with its result, so there is no queue of
        // accepted jobs that wait.
        co_return platform::encode_waiting_count(0);
    case platform::caller_call::cancel:
    {
        auto id = platform::job_id_of(call.path, queue.path_prefix);
        if (!id.empty())
            co_return co_await cancel(std::move(id));
        [[fallthrough]];
    }
    case platform::caller_call::read_state:
        co_return reject(platform::encode_no_such_job(), call,
                         result_code::unknown_id, "a gateway stores no jobs");
    case platform::caller_call::other:
        break;
    }
    co_return reject(platform::encode_refusal(not_allowed, milliseconds(0)),
                     call, result_code::method_not_allowed, "");
}

asio::awaitable<transport::http_response>
job_service::submit(transport::http_request request,
                    platform::caller_request const& call,
                    dispatch::queue_settings const& queue)
{
    constexpr unsigned bad_request = 400;
    constexpr unsigned unavailable = 503;
    auto decoded = platform::decode_job(
        request.body, platform::job_id_of(call.path, queue.path_prefix), queue,
        call.caller_timeout);
    if (!decoded)
    {
        auto const code = decoded.error().code;
        auto const status =
            code == result_code::unsupported_job ? unavailable : bad_request;
        co_return reject(platform::encode_refusal(status, no_dispatcher_retry),
                         call, code, decoded.error().detail);
    }
    if (is_evacuated(decoded->service))
        co_return reject(platform::encode_refusal(unavailable, evacuated_retry),
                         call, result_code::evacuated, decoded->service);
    auto const job = std::make_shared<submission>();
    job->job = std::move(*decoded);
    job->accepted = steady_clock::now();
    job->caller = request.caller;
    state_.callers.add(request.caller);
    if (request.caller)
        request.caller->on_disconnect(
            [this, job]
            {
                handle_caller_gone(job);
            });
    ++open_jobs_;
    auto const open = open_ids_.insert(job->job.id);
    auto const result = co_await dispatch(job);
    open_ids_.erase(open);
    --open_jobs_;
    auto const answered = steady_clock::now();
    auto const taken = answered - job->accepted;
    if (result.reason == dispatch::end_reason::not_dispatcher)
        state_.recovery.record_refusal(answered);
    state_.metrics.jobs(result.end).add();
    state_.metrics.job_seconds.observe(taken);
    log_event(
        log_level::info, "job_answered",
        {{"job", job->job.id},
         {"queue", job->job.queue},
         {"priority", job->job.priority},
         {"version", state_.configuration_version},
         {"dispatcher", job->dispatcher},
         {"cell", job->cell},
         {"choice", job->choice ? name_of(job->choice->kind) : ""},
         {"claimed_wait_ms", job->choice ? job->choice->wait.count() : 0},
         {"claim_age_ms", job->choice ? job->choice->claim_age.count() : -1},
         {"busy_cells", job->tried.busy.size()},
         {"overloaded_cells", job->tried.overloaded.size()},
         {"end", dispatch::name_of(result.end)},
         {"reason", dispatch::name_of(result.reason)},
         {"caller_gone", job->caller_gone},
         {"ms", to_milliseconds(taken)}});
    co_return platform::encode_job_end(result);
}

bool job_service::choose_cell(submission& job, cell_dispatchers const& cells)
{
    auto const choice = dispatch::choose_cell(
        cells, state_.roster.self().data_centre, job.job, job.tried);
    if (!choice)
        return false;
    job.choice = choice;
    job.dispatcher = job.choice->address;
    job.cell = job.choice->cell;
    job.job.only_if_idle = job.choice->only_if_idle;
    state_.metrics.cell_choices(job.choice->kind, job.job.priority).add();
    return true;
}

bool job_service::is_evacuated(std::string const& service) const
{
    if (state_.evacuations.data_centres().empty())
        return false;
    auto const serving = state_.registry.data_centres_of(service);
    return !serving.empty() &&
           std::ranges::all_of(serving,
                               [&](std::string const& each)
                               {
                                   return state_.evacuations.contains(each);
                               });
}

std::optional<dispatch::job_result>
job_service::refuse_by_claims(submission const& job,
                              cell_dispatchers const& cells)
{
    auto const refusal = dispatch::refuse_by_claims(cells, job.job);
    if (!refusal)
        return std::nullopt;
    state_.metrics.refusals_by_claims(job.job.priority).add();
    log_event(log_level::info, "job_refused_by_claims",
              {{"job", job.job.id},
               {"queue", job.job.queue},
               {"priority", job.job.priority},
               {"cells", cells.size()},
               {"age_ms", job.job.age.count()},
               {"retry_after_ms", refusal->retry_after.count()}});
    return refusal;
}

asio::awaitable<transport::http_response> job_service::cancel(std::string id)
{
    // A job may be between two cells.
    bool const open = open_ids_.contains(id);
    auto const outcome = co_await cancellations_.cancel(std::move(id));
    co_return outcome == cancellation_outcome::unknown && !open
        ? platform::encode_no_such_job()
        : platform::encode_cancelled();
}

asio::awaitable<dispatch::job_result> job_service::dispatch(submission_ptr job)
{
    dispatch::job_result refusal{dispatch::job_end::refused,
                                 dispatch::end_reason::not_dispatcher,
                                 no_dispatcher_retry};
    while (is_wanted(*job))
    {
        if (state_.cancelled.contains(job->job.id, steady_clock::now()))
            co_return dispatch::job_result{dispatch::job_end::cancelled,
                                           dispatch::end_reason::cancelled};
        auto const now = steady_clock::now();
        auto const cells = state_.roster.dispatchers(now);
        job->job.age =
            std::chrono::duration_cast<milliseconds>(now - job->accepted);
        // An earlier submission of the job may be running.
        bool const resubmitted = open_ids_.count(job->job.id) > 1;
        auto const refused =
            resubmitted ? std::nullopt : refuse_by_claims(*job, cells);
        if (refused)
            co_return *refused;
        if (choose_cell(*job, cells))
        {
            auto const result = co_await call_dispatcher(job);
            if (result.end != dispatch::job_end::refused)
                co_return result;
            if (result.reason == dispatch::end_reason::busy_cell)
            {
                job->tried.busy.insert(job->cell);
                continue;
            }
            if (result.reason == dispatch::end_reason::overloaded ||
                result.reason == dispatch::end_reason::displaced)
            {
                job->tried.overloaded.insert(job->cell);
                refusal = result;
                continue;
            }
            if (result.reason == dispatch::end_reason::evacuated)
            {
                job->tried.evacuated.insert(job->cell);
                refusal = result;
                refusal.retry_after = evacuated_retry;
                continue;
            }
            // The refusal came with a new reading of the dispatcher's clock.
            if (result.reason == dispatch::end_reason::outdated &&
                ++job->outdated <= max_outdated)
                continue;
            if (result.reason != dispatch::end_reason::not_dispatcher &&
                result.reason != dispatch::end_reason::outdated)
                co_return result;
        }
        else if (!job->tried.overloaded.empty() ||
                 is_evacuated(job->job.service))
        {
            co_return refusal;
        }
        if (steady_clock::now() - job->accepted > dispatcher_wait)
            co_return refusal;
        co_await pause(dispatcher_pause);
    }
    co_return refusal;
}

asio::awaitable<dispatch::job_result>
job_service::call_dispatcher(submission_ptr job)
{
    auto const& self = state_.roster.self();
    job->job.submission = ++last_submission_;
    if (job->dispatcher == self.address)
        co_return co_await cell_manager_.run_job(job->cell, job->job, self,
                                                 steady_clock::now());
    auto content = to_wire(job->job, self);
    content.cell = job->cell;
    content.__set_last_reading(
        to_wire(state_.roster.last_reading(job->dispatcher)));
    auto message = peer_link::make_message(std::move(content));
    auto const dispatcher = job->dispatcher;
    state_.roster.begin_job_at(dispatcher);
    auto const result = co_await call_peer(
        peers_, dispatcher, std::move(message),
        job->accepted + job->job.caller_timeout + answer_margin);
    state_.roster.end_job_at(dispatcher, steady_clock::now());
    if (result)
    {
        state_.roster.record_clock(dispatcher,
                                   from_wire(result->dispatch_answer.reading));
        co_return from_wire(result->dispatch_answer);
    }
    if (!result.error().sent)
        co_return dispatch::job_result{dispatch::job_end::refused,
                                       dispatch::end_reason::not_dispatcher,
                                       no_dispatcher_retry};
    log_event(log_level::warning, "dispatcher_lost_job",
              {{"job", job->job.id},
               {"dispatcher", job->dispatcher},
               {"detail", result.error().error.detail}});
    withdraw(job);
    co_return dispatch::job_result{dispatch::job_end::unknown,
                                   dispatch::end_reason::endpoint_lost};
}

bool job_service::is_wanted(submission& job)
{
    auto const caller = job.caller.lock();
    if (!job.caller_gone && caller && caller->has_ended())
    {
        job.caller_gone = true;
        state_.metrics.callers_gone.add();
    }
    return !job.caller_gone;
}

void job_service::handle_caller_gone(submission_ptr const& job)
{
    if (std::exchange(job->caller_gone, true))
        return;
    state_.metrics.callers_gone.add();
    if (!job->dispatcher.empty())
        withdraw(job);
}

void job_service::withdraw(submission_ptr const& job)
{
    if (job->dispatcher == state_.roster.self().address)
        cell_manager_.withdraw(job->cell, job->job.id, state_.roster.self(),
                               job->job.submission);
    else
        begin_withdrawal(*job);
}

void job_service::begin_withdrawal(submission const& job)
{
    dispatch::job_withdrawal withdrawal{job.job.id, job.cell,
                                        job.job.submission};
    state_.roster.withdrawals().add(job.dispatcher, withdrawal,
                                    steady_clock::now());
    asio::co_spawn(
        cell_manager_.executor(),
        send_withdrawal(*this, job.dispatcher, std::move(withdrawal)),
        asio::detached);
}

asio::awaitable<void>
job_service::send_withdrawal(job_service& self, std::string dispatcher,
                             dispatch::job_withdrawal withdrawal)
{
    wire::withdraw_job content;
    content.id = withdrawal.job;
    content.cell = withdrawal.cell;
    content.origin = to_wire(self.state_.roster.self());
    content.submission = withdrawal.submission;
    auto& open = self.state_.roster.withdrawals();
    while (open.contains(dispatcher, withdrawal))
    {
        auto const until = steady_clock::now() + withdrawal_timeout;
        auto message = peer_link::make_message(content);
        auto const result = co_await call_peer(self.peers_, dispatcher,
                                               std::move(message), until);
        if (result)
            open.acknowledge(dispatcher, {withdrawal}, steady_clock::now());
        else if (steady_clock::now() < until)
            co_await pause(until - steady_clock::now());
    }
}

} // namespace masticshift::gateway
