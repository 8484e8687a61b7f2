#ifndef MASTICSHIFT_HOMES_ADMISSION_DECISION_HPP
#define MASTICSHIFT_HOMES_ADMISSION_DECISION_HPP

#include <homes/kept_answer.hpp>

#include <core/result_code.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace masticshift::homes
{

/// Number of a started submission, counted from 1 in each `submission_table`.
/// Usable as a job number within the process.
using submission_number = std::uint64_t;

enum class decision_kind
{
    /// First copy of the submission: run it, then call
    /// `submission_table::finish`.
    start,
    /// The submission is running: wait for its answer.
    attach,
    /// The submission has ended: return this answer.
    answered,
    /// Nothing is started for this copy. `code` is the reason, and `ran`
    /// whether the submission has run.
    refused
};

std::string_view name_of(decision_kind kind);

/// Decision about one copy of a submission. A copy is each arrival of the same
/// job or request under the same id, such as a caller's retry.
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

/// Makes a `refused` decision.
admission_decision make_refusal(result_code code, ran_state ran,
                                std::string detail);
/// Makes an `answered` decision.
admission_decision make_answered(answer_ptr answer);

} // namespace masticshift::homes

#endif
