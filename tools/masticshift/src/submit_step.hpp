#ifndef MASTICSHIFT_CLI_SUBMIT_STEP_HPP
#define MASTICSHIFT_CLI_SUBMIT_STEP_HPP

#include <core/result_code.hpp>

namespace masticshift::cli
{

enum class call_end
{
    /// No byte was sent.
    not_sent,
    /// Sent, and no answer came.
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
    /// The answer is the last word.
    finish,
    /// The same id has to be submitted again.
    resubmit,
    /// The job can't run under this id and may run under a new one.
    renew_id
};

/// What the contract of docs/API.md allows next. `sent_before`: an earlier
/// call may have sent the id.
submit_step next_step(call_outcome const& last, bool sent_before);

} // namespace masticshift::cli

#endif
