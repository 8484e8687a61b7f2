#ifndef MASTICSHIFT_HOMES_ADMISSION_DECISION_HPP
#define MASTICSHIFT_HOMES_ADMISSION_DECISION_HPP

#include <homes/kept_answer.hpp>

#include <core/result_code.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace masticshift::homes
{

/// Counts the submissions that one table starts, from 1. Usable as a job
/// number within the process.
using submission_number = std::uint64_t;

enum class decision_kind
{
    /// The first time: run it, then call `finish`.
    start,
    /// It is running: wait for its answer.
    attach,
    /// It has ended: give this answer.
    answered,
    /// This call starts nothing. `code` and `ran` say why.
    refused
};

std::string_view name_of(decision_kind kind);

/// What becomes of one copy of a submission.
struct admission_decision
{
    decision_kind kind = decision_kind::refused;
    /// Set for `start` and `attach`.
    submission_number number = 0;
    /// Set for `answered`.
    answer_ptr answer;
    /// Set for `answered` and `refused`.
    result_code code = result_code::ok;
    ran_state ran = ran_state::unknown;
    /// Set for `refused`.
    std::string detail;
};

admission_decision refused(result_code code, ran_state ran, std::string detail);
admission_decision answered(answer_ptr answer);

} // namespace masticshift::homes

#endif
