#include "peer_api.hpp"

#include "answer.hpp"
#include "handover_wire.hpp"
#include "loan_wire.hpp"

#include <core/log.hpp>
#include <peer_link/message_kind.hpp>

namespace masticshift::daemon
{

namespace
{

namespace asio = boost::asio;
using homes::call_origin;
using peer_link::make_message;
using peer_link::message_kind;

wire::message make_reply(call_answer const& answered)
{
    auto const& answer = *answered.answer;
    wire::forward_reply reply;
    reply.__set_code(static_cast<std::int32_t>(answer.code));
    reply.__set_ran(std::string(name_of(answer.ran)));
    reply.__set_http_status(static_cast<std::int32_t>(answer.http_status));
    reply.__set_body(answer.body);
    reply.__set_content_type(answer.content_type);
    return make_message(std::move(reply));
}

bool is_wait(std::int32_t wait_ms)
{
    return wait_ms >= 0 && wait_ms <= max_wait.count();
}

submission_call make_call(wire::forward message)
{
    submission_call call;
    bool const is_request = !message.request_service.empty();
    call.kind = is_request ? homes::submission_kind::request
                           : homes::submission_kind::job;
    call.id = std::move(message.id);
    call.service = std::move(message.request_service);
    call.idempotent = message.idempotent;
    call.timeout = milliseconds(message.timeout_ms);
    call.body = std::move(message.body);
    return call;
}

} // namespace

peer_api::peer_api(entry_state& state, submission_service& submissions,
                   job_runner& runner, heartbeat_handler on_heartbeat)
    : state_(state),
      submissions_(submissions),
      runner_(runner),
      on_heartbeat_(std::move(on_heartbeat))
{
}

asio::awaitable<wire::message> peer_api::handle(wire::message call)
{
    auto const kind = peer_link::kind_of(call);
    if (kind == message_kind::forward_call)
        co_return co_await forward(std::move(call.forward_call));
    if (kind == message_kind::heartbeat_call)
        co_return heartbeat(call.heartbeat_call);
    if (kind == message_kind::borrow_call)
        co_return borrow(call.borrow_call);
    if (kind == message_kind::give_back_call)
        co_return give_back(call.give_back_call);
    if (kind == message_kind::fetch_text_call)
        co_return fetch_text();
    if (kind == message_kind::handover_call)
        co_return hand_over(std::move(call.handover_call));
    co_return wire::message();
}

asio::awaitable<wire::message> peer_api::forward(wire::forward call)
{
    call_answer answered;
    if (call.kind == wire::forward_kind::submit)
    {
        auto submitted = make_call(std::move(call));
        answered = co_await submissions_.submit(std::move(submitted),
                                                call_origin::peer);
    }
    else if (call.kind == wire::forward_kind::fetch && is_wait(call.wait_ms))
    {
        answered = co_await submissions_.fetch(
            call.id, milliseconds(call.wait_ms), call_origin::peer);
    }
    else if (call.kind == wire::forward_kind::cancel)
    {
        answered = co_await submissions_.cancel(call.id, call_origin::peer);
    }
    else
    {
        answered.answer = make_error_answer(
            call.id, result_code::malformed_request, ran_state::unknown,
            "unknown kind of call on an id, or its wait_ms is out of range");
    }
    co_return make_reply(answered);
}

wire::message peer_api::heartbeat(wire::heartbeat const& call)
{
    auto reply = on_heartbeat_(call);
    // An empty message can't be sent as a response: the server closes the
    // connection to the peer instead.
    if (!reply)
        return {};
    return make_message(std::move(*reply));
}

wire::message peer_api::borrow(wire::borrow const& call)
{
    auto const count = static_cast<unsigned>(std::max(call.count, 0));
    auto const loans =
        state_.engine.lend(call.service_name, count, call.borrower,
                           call.incarnation, steady_clock::now());
    wire::borrow_reply reply;
    reply.__set_slots(to_wire(loans));
    return make_message(std::move(reply));
}

wire::message peer_api::give_back(wire::give_back const& call)
{
    state_.engine.accept_returned_loans(call.borrower, call.incarnation,
                                        from_wire(call.slots),
                                        steady_clock::now());
    runner_.schedule_placement();
    return make_message(wire::acknowledgement());
}

wire::message peer_api::fetch_text()
{
    wire::fetch_text_reply reply;
    if (state_.configuration)
    {
        reply.__set_revision(
            static_cast<std::int64_t>(state_.configuration->revision));
        reply.__set_text(state_.configuration->text);
    }
    return make_message(std::move(reply));
}

wire::message peer_api::hand_over(wire::handover call)
{
    wire::handover_reply reply;
    auto const part = from_wire(std::move(call));
    if (!part)
    {
        reply.__set_accepted(false);
        return make_message(std::move(reply));
    }
    auto const accepted = state_.inherited.accept(*part, steady_clock::now());
    reply.__set_accepted(accepted.has_value());
    boost::json::object fields;
    fields["process"] = homes::to_string(part->header.process);
    fields["records"] = part->records.size();
    fields["complete"] = state_.inherited.holds(part->header.process);
    log_event(log_level::info, "handover_taken", std::move(fields));
    return make_message(std::move(reply));
}

} // namespace masticshift::daemon
