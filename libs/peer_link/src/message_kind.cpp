#include <peer_link/message_kind.hpp>

#include <array>
#include <utility>

namespace masticshift::peer_link
{

namespace
{

using enum message_kind;

constexpr std::array<std::string_view, message_kind_count> names{
    "heartbeat_call",     "heartbeat_answer", "forward_call",
    "forward_answer",     "borrow_call",      "borrow_answer",
    "give_back_call",     "fetch_text_call",  "fetch_text_answer",
    "handover_call",      "handover_answer",  "acknowledgement_answer",
    "refusal_answer",     "probe_call",       "pulse_call",
    "pulse_answer",       "dispatch_call",    "dispatch_answer",
    "withdraw_call",      "release_call",     "speeds_call",
    "relay_call",         "relay_answer",     "evacuations_call",
    "evacuations_answer", "cancel_call",      "cancel_answer"};

/// Whether each member is set, in the order of `message_kind`.
std::array<bool, message_kind_count> members_set(wire::message const& content)
{
    auto const& set = content.__isset;
    return {set.heartbeat_call,     set.heartbeat_answer,
            set.forward_call,       set.forward_answer,
            set.borrow_call,        set.borrow_answer,
            set.give_back_call,     set.fetch_text_call,
            set.fetch_text_answer,  set.handover_call,
            set.handover_answer,    set.acknowledgement_answer,
            set.refusal_answer,     set.probe_call,
            set.pulse_call,         set.pulse_answer,
            set.dispatch_call,      set.dispatch_answer,
            set.withdraw_call,      set.release_call,
            set.speeds_call,        set.relay_call,
            set.relay_answer,       set.evacuations_call,
            set.evacuations_answer, set.cancel_call,
            set.cancel_answer};
}

} // namespace

std::string_view name_of(message_kind kind)
{
    return names.at(static_cast<std::size_t>(kind));
}

std::optional<message_kind> kind_of(wire::message const& content)
{
    std::optional<message_kind> kind;
    auto const set = members_set(content);
    for (std::size_t i = 0; i < set.size(); ++i)
    {
        if (!set.at(i))
            continue;
        if (kind)
            return std::nullopt;
        kind = static_cast<message_kind>(i);
    }
    return kind;
}

std::optional<message_kind> answer_kind_of(message_kind call)
{
    switch (call)
    {
    case heartbeat_call:
        return heartbeat_answer;
    case forward_call:
        return forward_answer;
    case borrow_call:
        return borrow_answer;
    case fetch_text_call:
        return fetch_text_answer;
    case handover_call:
        return handover_answer;
    case pulse_call:
        return pulse_answer;
    case dispatch_call:
        return dispatch_answer;
    case relay_call:
        return relay_answer;
    case evacuations_call:
        return evacuations_answer;
    case cancel_call:
        return cancel_answer;
    case give_back_call:
    case withdraw_call:
    case release_call:
    case speeds_call:
    case probe_call:
        return acknowledgement_answer;
    default:
        return std::nullopt;
    }
}

wire::message make_message(wire::heartbeat content)
{
    wire::message result;
    result.heartbeat_call = std::move(content);
    result.__isset.heartbeat_call = true;
    return result;
}

wire::message make_message(wire::heartbeat_reply content)
{
    wire::message result;
    result.heartbeat_answer = std::move(content);
    result.__isset.heartbeat_answer = true;
    return result;
}

wire::message make_message(wire::forward content)
{
    wire::message result;
    result.forward_call = std::move(content);
    result.__isset.forward_call = true;
    return result;
}

wire::message make_message(wire::forward_reply content)
{
    wire::message result;
    result.forward_answer = std::move(content);
    result.__isset.forward_answer = true;
    return result;
}

wire::message make_message(wire::borrow content)
{
    wire::message result;
    result.borrow_call = std::move(content);
    result.__isset.borrow_call = true;
    return result;
}

wire::message make_message(wire::borrow_reply content)
{
    wire::message result;
    result.borrow_answer = std::move(content);
    result.__isset.borrow_answer = true;
    return result;
}

wire::message make_message(wire::give_back content)
{
    wire::message result;
    result.give_back_call = std::move(content);
    result.__isset.give_back_call = true;
    return result;
}

wire::message make_message(wire::fetch_text content)
{
    wire::message result;
    result.fetch_text_call = std::move(content);
    result.__isset.fetch_text_call = true;
    return result;
}

wire::message make_message(wire::fetch_text_reply content)
{
    wire::message result;
    result.fetch_text_answer = std::move(content);
    result.__isset.fetch_text_answer = true;
    return result;
}

wire::message make_message(wire::handover content)
{
    wire::message result;
    result.handover_call = std::move(content);
    result.__isset.handover_call = true;
    return result;
}

wire::message make_message(wire::handover_reply content)
{
    wire::message result;
    result.handover_answer = std::move(content);
    result.__isset.handover_answer = true;
    return result;
}

wire::message make_message(wire::acknowledgement content)
{
    wire::message result;
    result.acknowledgement_answer = std::move(content);
    result.__isset.acknowledgement_answer = true;
    return result;
}

wire::message make_message(wire::refusal content)
{
    wire::message result;
    result.refusal_answer = std::move(content);
    result.__isset.refusal_answer = true;
    return result;
}

wire::message make_message(wire::probe content)
{
    wire::message result;
    result.probe_call = std::move(content);
    result.__isset.probe_call = true;
    return result;
}

wire::message make_message(wire::pulse content)
{
    wire::message result;
    result.pulse_call = std::move(content);
    result.__isset.pulse_call = true;
    return result;
}

wire::message make_message(wire::pulse_reply content)
{
    wire::message result;
    result.pulse_answer = std::move(content);
    result.__isset.pulse_answer = true;
    return result;
}

wire::message make_message(wire::dispatch_job content)
{
    wire::message result;
    result.dispatch_call = std::move(content);
    result.__isset.dispatch_call = true;
    return result;
}

wire::message make_message(wire::dispatch_reply content)
{
    wire::message result;
    result.dispatch_answer = std::move(content);
    result.__isset.dispatch_answer = true;
    return result;
}

wire::message make_message(wire::withdraw_job content)
{
    wire::message result;
    result.withdraw_call = std::move(content);
    result.__isset.withdraw_call = true;
    return result;
}

wire::message make_message(wire::release_endpoints content)
{
    wire::message result;
    result.release_call = std::move(content);
    result.__isset.release_call = true;
    return result;
}

wire::message make_message(wire::share_speeds content)
{
    wire::message result;
    result.speeds_call = std::move(content);
    result.__isset.speeds_call = true;
    return result;
}

wire::message make_message(wire::relay_read content)
{
    wire::message result;
    result.relay_call = std::move(content);
    result.__isset.relay_call = true;
    return result;
}

wire::message make_message(wire::relay_read_reply content)
{
    wire::message result;
    result.relay_answer = std::move(content);
    result.__isset.relay_answer = true;
    return result;
}

wire::message make_message(wire::fetch_evacuations content)
{
    wire::message result;
    result.evacuations_call = std::move(content);
    result.__isset.evacuations_call = true;
    return result;
}

wire::message make_message(wire::fetch_evacuations_reply content)
{
    wire::message result;
    result.evacuations_answer = std::move(content);
    result.__isset.evacuations_answer = true;
    return result;
}

wire::message make_message(wire::cancel_job content)
{
    wire::message result;
    result.cancel_call = std::move(content);
    result.__isset.cancel_call = true;
    return result;
}

wire::message make_message(wire::cancel_job_reply content)
{
    wire::message result;
    result.cancel_answer = std::move(content);
    result.__isset.cancel_answer = true;
    return result;
}

} // namespace masticshift::peer_link
