#ifndef MASTICSHIFT_LOAD_JOB_OUTCOME_HPP
#define MASTICSHIFT_LOAD_JOB_OUTCOME_HPP

#include <core/result_code.hpp>
#include <core/time.hpp>

#include <string_view>

namespace masticshift::load
{

/// How the last call of a job ended for the caller.
enum class call_end
{
    /// A complete answer with a result code.
    answered,
    /// An answer that is malformed or lacks tasks.
    bad_answer,
    /// Sent, but the connection ended without an answer.
    broken,
    /// Sent, but no answer was received before the caller's timeout.
    timed_out,
    /// Never sent.
    not_sent
};

struct job_outcome
{
    call_end end = call_end::not_sent;
    result_code code = result_code::internal;
    ran_state ran = ran_state::unknown;
    time_point ended;
    unsigned calls = 0;
};

/// The name of the result code, or of the way the call ended without one.
inline std::string_view name_of(job_outcome const& outcome)
{
    switch (outcome.end)
    {
    case call_end::answered:
        return name_of(outcome.code);
    case call_end::bad_answer:
        return "bad_answer";
    case call_end::broken:
        return "connection_broken";
    case call_end::timed_out:
        return "no_answer_in_time";
    case call_end::not_sent:
        break;
    }
    return "not_sent";
}

inline bool is_ok(job_outcome const& outcome)
{
    return outcome.end == call_end::answered && outcome.code == result_code::ok;
}

/// Whether the outcome is unknown, so that the same id has to be submitted
/// again to learn it.
inline bool is_open(job_outcome const& outcome)
{
    bool const has_answer = outcome.end == call_end::answered;
    return outcome.end == call_end::broken ||
           outcome.end == call_end::timed_out ||
           (has_answer && outcome.code == result_code::home_unreachable);
}

} // namespace masticshift::load

#endif
