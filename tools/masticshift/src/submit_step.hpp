#ifndef MASTICSHIFT_CLI_SUBMIT_STEP_HPP
#define MASTICSHIFT_CLI_SUBMIT_STEP_HPP

#include <core/result_code.hpp>

namespace masticshift::cli
{

enum class call_end
{
    /// No byte was sent.
    not_sent,
    /// Sent, but no valid answer was received.
    no_answer,
    answered
};

/// How one call that submits a job ended.
struct call_outcome
{
    call_end end = call_end::not_sent;
    result_code code = result_code::internal;
    ran_state ran = ran_state::unknown;
};

enum class submit_step
{
    /// The answer is final.
    finish,
    /// Submit the job again under the same id.
    resubmit,
    /// The job cannot run under this id; submit it under a new one.
    renew_id
};

/// The next step that the contract of docs/API.md allows after a call.
/// `sent_before`: whether an earlier call may have sent the id.
submit_step next_step(call_outcome const& last, bool sent_before);

} // namespace masticshift::cli

#endif
