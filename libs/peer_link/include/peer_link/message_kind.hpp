#ifndef MASTICSHIFT_PEER_LINK_MESSAGE_KIND_HPP
#define MASTICSHIFT_PEER_LINK_MESSAGE_KIND_HPP

#include <peer_link/wire.hpp>

#include <cstddef>
#include <optional>
#include <string_view>

namespace masticshift::peer_link
{

/// The member of `wire::message` that is set.
enum class message_kind
{
    heartbeat_call,
    heartbeat_answer,
    forward_call,
    forward_answer,
    borrow_call,
    borrow_answer,
    give_back_call,
    fetch_text_call,
    fetch_text_answer,
    handover_call,
    handover_answer,
    acknowledgement_answer,
    refusal_answer,
    probe_call,
    pulse_call,
    pulse_answer,
    dispatch_call,
    dispatch_answer,
    withdraw_call,
    release_call,
    speeds_call,
    relay_call,
    relay_answer,
    evacuations_call,
    evacuations_answer,
    cancel_call,
    cancel_answer
};

constexpr std::size_t message_kind_count = 27;

/// The name of the member, as in the IDL.
std::string_view name_of(message_kind kind);

/// The member that is set, or nothing unless exactly one is set.
std::optional<message_kind> kind_of(wire::message const& content);

/// The kind of message that responds to a call; any call can also be refused
/// with `refusal_answer`. Nothing for kinds that are not calls. The client
/// treats a response of any other kind as a protocol error of the peer.
std::optional<message_kind> answer_kind_of(message_kind call);

/// Makes a message with this member set.
wire::message make_message(wire::heartbeat content);
wire::message make_message(wire::heartbeat_reply content);
wire::message make_message(wire::forward content);
wire::message make_message(wire::forward_reply content);
wire::message make_message(wire::borrow content);
wire::message make_message(wire::borrow_reply content);
wire::message make_message(wire::give_back content);
wire::message make_message(wire::fetch_text content);
wire::message make_message(wire::fetch_text_reply content);
wire::message make_message(wire::handover content);
wire::message make_message(wire::handover_reply content);
wire::message make_message(wire::acknowledgement content);
wire::message make_message(wire::refusal content);
wire::message make_message(wire::probe content);
wire::message make_message(wire::pulse content);
wire::message make_message(wire::pulse_reply content);
wire::message make_message(wire::dispatch_job content);
wire::message make_message(wire::dispatch_reply content);
wire::message make_message(wire::withdraw_job content);
wire::message make_message(wire::release_endpoints content);
wire::message make_message(wire::share_speeds content);
wire::message make_message(wire::relay_read content);
wire::message make_message(wire::relay_read_reply content);
wire::message make_message(wire::fetch_evacuations content);
wire::message make_message(wire::fetch_evacuations_reply content);
wire::message make_message(wire::cancel_job content);
wire::message make_message(wire::cancel_job_reply content);

} // namespace masticshift::peer_link

#endif
