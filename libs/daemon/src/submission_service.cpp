#include "submission_service.hpp"

#include "answer.hpp"

#include <core/log.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <random>

namespace masticshift::daemon
{

namespace
{

namespace asio = boost::asio;
using homes::call_origin;
using homes::decision_kind;
using homes::route_kind;

constexpr auto as_values = asio::as_tuple(asio::use_awaitable);

/// A forwarded call times out this much later than at the home, so that the
/// home's own answer arrives first.
constexpr milliseconds forward_margin{2'000};

/// Timeout of a forwarded submission that names none. The home uses the default
/// of the service, which this entry may not know.
constexpr milliseconds default_forward_timeout = max_timeout;

std::string make_nonce()
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr int length = 32;
    static std::random_device source;
    std::string nonce;
    for (int i = 0; i < length; ++i)
        nonce += digits[source() % digits.size()];
    return nonce;
}

call_answer refusal(std::string id, result_code code, ran_state ran,
                    std::string_view detail)
{
    boost::json::object fields;
    fields["id"] = id;
    fields["code"] = static_cast<int>(code);
    fields["ran"] = name_of(ran);
    fields["reason"] = detail;
    log_event(log_level::info, "job_refused", std::move(fields));
    auto answer = make_error_answer(id, code, ran, detail);
    return {std::move(id), std::move(answer)};
}

call_answer refusal(std::string id, homes::admission_decision const& decision)
{
    return refusal(std::move(id), decision.code, decision.ran, decision.detail);
}

/// The answer if no entry that answers for the id is known. This call started
/// nothing.
call_answer home_not_known(std::string id)
{
    return refusal(std::move(id), result_code::home_unreachable,
                   ran_state::unknown,
                   "no entry is known that answers for this id");
}

/// An id that can't be parsed names no submission, so nothing ever ran under
/// it. As it may be any text, it is left out of the header fields of the
/// answer.
call_answer invalid_id(std::string id, failure const& error)
{
    auto answered =
        refusal(std::move(id), error.code, ran_state::not_run, error.detail);
    answered.id.clear();
    return answered;
}

/// The answer if the table lists the id as running, but there is no such job.
call_answer job_not_found(std::string id)
{
    return refusal(
        std::move(id), result_code::outcome_unknown, ran_state::unknown,
        "the table lists this id as running, but there is no such job");
}

void log_route(std::string_view id, homes::route const& chosen)
{
    if (!log_enabled(log_level::info))
        return;
    boost::json::object fields;
    fields["id"] = id;
    fields["route"] = homes::name_of(chosen.kind);
    fields["address"] = chosen.address;
    log_event(log_level::info, "call_routed", std::move(fields));
}

wire::forward make_forward(submission_call const& call, std::string const& id)
{
    wire::forward message;
    message.__set_kind(wire::forward_kind::submit);
    message.__set_id(id);
    message.__set_body(call.body);
    message.__set_request_service(call.service);
    message.__set_idempotent(call.idempotent);
    message.__set_timeout_ms(static_cast<std::int32_t>(call.timeout.count()));
    return message;
}

/// Makes a fetch or a cancellation of an id.
wire::forward make_call(wire::forward_kind::type kind, std::string const& id)
{
    wire::forward message;
    message.__set_kind(kind);
    message.__set_id(id);
    return message;
}

call_answer read_reply(std::string id, wire::forward_reply reply)
{
    auto const code = result_code_of(reply.code);
    auto const ran = ran_state_of(reply.ran);
    if (!code || !ran || !is_http_status(reply.http_status))
        return refusal(std::move(id), result_code::outcome_unknown,
                       ran_state::unknown,
                       "the answer from the home of this id is malformed");
    homes::kept_answer answer;
    answer.code = *code;
    answer.ran = *ran;
    answer.http_status = static_cast<unsigned>(reply.http_status);
    answer.body = std::move(reply.body);
    answer.content_type = std::move(reply.content_type);
    return {std::move(id),
            std::make_shared<homes::kept_answer const>(std::move(answer))};
}

} // namespace

submission_service::submission_service(asio::any_io_executor executor,
                                       entry_state& state, job_runner& runner,
                                       peer_link::peer_client& peers)
    : executor_(std::move(executor)),
      state_(state),
      runner_(runner),
      peers_(peers)
{
}

homes::submission_id submission_service::generate_id()
{
    return {state_.table.current_token(), make_nonce()};
}

asio::awaitable<call_answer> submission_service::submit(submission_call call,
                                                        call_origin origin)
{
    auto parsed = parse_submission(call, state_.settings.limits.max_tasks);
    if (!parsed)
        co_return refusal(call.id, parsed.error().code, ran_state::unknown,
                          parsed.error().detail);
    if (parsed->id.empty() && !parsed->key.empty())
        co_return refusal({}, result_code::home_required, ran_state::not_run,
                          homes::to_string(state_.table.current_token()));
    if (parsed->id.empty())
        parsed->id = homes::to_string(generate_id());
    auto const id = homes::parse_submission_id(parsed->id);
    if (!id)
        co_return invalid_id(parsed->id, id.error());
    auto const route = state_.router.find_route(*id, origin);
    log_route(parsed->id, route);
    if (route.kind == route_kind::local)
        co_return co_await submit_local(std::move(*parsed), *id);
    if (route.kind == route_kind::unknown_home)
        co_return home_not_known(parsed->id);
    if (route.kind == route_kind::inherited)
    {
        auto const decision = state_.inherited.find(*id, parsed->digest);
        if (decision.kind == decision_kind::answered)
            co_return call_answer{parsed->id, decision.answer};
        co_return refusal(parsed->id, decision);
    }
    auto const requested = parsed->timeout;
    auto const timeout =
        requested.count() > 0 ? requested : default_forward_timeout;
    auto message = make_forward(call, parsed->id);
    co_return co_await forward(route.address, std::move(message), timeout);
}

asio::awaitable<call_answer>
submission_service::submit_local(submission submitted, homes::submission_id id)
{
    auto const now = steady_clock::now();
    auto const id_text = submitted.id;
    auto const decision = state_.table.admit(id, submitted.digest, now);
    if (decision.kind == decision_kind::refused)
        co_return refusal(id_text, decision);
    if (decision.kind == decision_kind::answered)
    {
        ++state_.metrics.resubmissions;
        co_return call_answer{id_text, decision.answer};
    }
    job_ptr running;
    if (decision.kind == decision_kind::attach)
    {
        ++state_.metrics.resubmissions;
        running = find_running(decision.number);
        if (!running)
            co_return job_not_found(id_text);
    }
    else
    {
        running = start(std::move(submitted), id, decision.number, now);
    }
    co_await wait_for_end(running);
    co_return call_answer{id_text, running->answer};
}

job_ptr submission_service::start(submission submitted,
                                  homes::submission_id const& id,
                                  homes::submission_number number,
                                  time_point now)
{
    auto started = std::make_shared<job>(executor_, std::move(submitted));
    started->id = id;
    started->id_text = started->submitted.id;
    started->table_number = number;
    started->admitted = now;
    started->deadline = now + timeout_of(started->submitted);
    running_[number] = started;
    if (!state_.configuration)
    {
        runner_.refuse(*started, result_code::not_ready,
                       "the entry has no configuration yet");
        return started;
    }
    auto const& text = *state_.configuration;
    started->revision = text.revision;
    auto const service = text.services.find(started->submitted.service);
    if (service != text.services.end())
        started->recoverable = service->second.recoverable;
    runner_.start(started, now);
    return started;
}

milliseconds submission_service::timeout_of(submission const& submitted) const
{
    if (submitted.timeout.count() > 0)
        return submitted.timeout;
    if (state_.configuration)
    {
        auto const& services = state_.configuration->services;
        auto const service = services.find(submitted.service);
        if (service != services.end())
            return service->second.timeout;
    }
    return config::service_config{}.timeout;
}

void submission_service::keep_answer(job& ended)
{
    state_.table.finish(ended.id, ended.answer, steady_clock::now());
    running_.erase(ended.table_number);
}

asio::awaitable<call_answer>
submission_service::forward(std::string address, wire::forward call,
                            duration response_timeout)
{
    auto id = call.id;
    auto const peer = config::parse_socket_address(address);
    if (!peer)
        co_return home_not_known(std::move(id));
    auto const deadline =
        steady_clock::now() + response_timeout + forward_margin;
    auto message = peer_link::make_message(std::move(call));
    auto result = co_await peers_.call(*peer, std::move(message), deadline);
    if (result)
        co_return read_reply(std::move(id), result->forward_answer);
    auto const& failed = result.error();
    if (!failed.sent)
        co_return refusal(std::move(id), result_code::home_unreachable,
                          ran_state::unknown, failed.error.detail);
    co_return refusal(
        std::move(id), result_code::outcome_unknown, ran_state::unknown,
        "the home of this id did not answer: " + failed.error.detail);
}

job_ptr submission_service::find_running(homes::submission_number number) const
{
    auto const found = running_.find(number);
    return found == running_.end() ? nullptr : found->second;
}

submission_service::lookup
submission_service::look_up(std::string const& id_text,
                            call_origin origin) const
{
    auto const id = homes::parse_submission_id(id_text);
    if (!id)
        return {invalid_id(id_text, id.error()), nullptr, {}};
    auto const route = state_.router.find_route(*id, origin);
    log_route(id_text, route);
    if (route.kind == route_kind::unknown_home)
        return {home_not_known(id_text), nullptr, {}};
    if (route.kind == route_kind::forward)
        return {{}, nullptr, route.address};
    auto const decision = route.kind == route_kind::local
                              ? state_.table.find(*id)
                              : state_.inherited.find(*id);
    if (decision.kind == decision_kind::answered)
        return {{id_text, decision.answer}, nullptr, {}};
    if (decision.kind == decision_kind::refused)
        return {refusal(id_text, decision), nullptr, {}};
    if (auto running = find_running(decision.number))
        return {{}, std::move(running), {}};
    return {job_not_found(id_text), nullptr, {}};
}

asio::awaitable<call_answer>
submission_service::fetch(std::string id, milliseconds wait, call_origin origin)
{
    auto const found = look_up(id, origin);
    if (found.answered.answer)
        co_return found.answered;
    if (!found.running)
    {
        auto message = make_call(wire::forward_kind::fetch, id);
        message.__set_wait_ms(static_cast<std::int32_t>(wait.count()));
        co_return co_await forward(found.home, std::move(message), wait);
    }
    auto const& running = found.running;
    co_await wait_for_end(running, wait);
    auto const answer =
        running->has_ended() ? running->answer : make_running_answer(id);
    co_return call_answer{id, answer};
}

asio::awaitable<call_answer> submission_service::cancel(std::string id,
                                                        call_origin origin)
{
    auto const found = look_up(id, origin);
    if (found.answered.answer)
        co_return found.answered;
    if (!found.running)
    {
        auto message = make_call(wire::forward_kind::cancel, id);
        co_return co_await forward(found.home, std::move(message),
                                   duration::zero());
    }
    runner_.cancel(*found.running, steady_clock::now());
    co_return call_answer{id, found.running->answer};
}

asio::awaitable<void> submission_service::wait_for_end(job_ptr running)
{
    while (!running->has_ended())
        co_await running->ended_event.async_wait(as_values);
}

asio::awaitable<void> submission_service::wait_for_end(job_ptr running,
                                                       milliseconds limit)
{
    // Waits on a separate timer, which the event cancels: cancelling the event
    // itself on timeout would wake all waiters of the job.
    auto const limit_timer =
        std::make_shared<asio::steady_timer>(executor_, limit);
    if (running->has_ended())
        co_return;
    auto const stop_waiting = std::make_shared<asio::cancellation_signal>();
    running->ended_event.async_wait(asio::bind_cancellation_slot(
        stop_waiting->slot(),
        [limit_timer, stop_waiting](boost::system::error_code)
        {
            limit_timer->cancel();
        }));
    co_await limit_timer->async_wait(as_values);
    stop_waiting->emit(asio::cancellation_type::terminal);
}

} // namespace masticshift::daemon
