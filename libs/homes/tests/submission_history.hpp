#ifndef MASTICSHIFT_HOMES_TESTS_SUBMISSION_HISTORY_HPP
#define MASTICSHIFT_HOMES_TESTS_SUBMISSION_HISTORY_HPP

#include "table_fixture.hpp"

#include <rapidcheck.h>

#include <string>
#include <utility>

namespace masticshift::homes::testing
{

/// All decisions returned for one id, and what happened to its submission.
/// Fails the property at the first decision that contradicts an earlier one or
/// the state of the submission.
class submission_history
{
public:
    explicit submission_history(submission_id id) : id_(std::move(id))
    {
    }

    submission_id const& id() const
    {
        return id_;
    }

    bool running() const
    {
        return running_;
    }

    /// Checks the decision about a copy with this body.
    void check(unsigned body, admission_decision const& decision)
    {
        switch (decision.kind)
        {
        case decision_kind::start:
            check_start(body);
            break;
        case decision_kind::attach:
            RC_ASSERT(running_);
            RC_ASSERT(body == body_);
            break;
        case decision_kind::answered:
            RC_ASSERT(body == body_);
            check_answer(*decision.answer);
            break;
        case decision_kind::refused:
            check_refusal(body, decision);
            break;
        }
    }

    /// Checks the decision of `submission_table::refuse` with the answer
    /// `given`.
    void check_refuse(unsigned body, answer_ptr const& given,
                      admission_decision const& decision)
    {
        RC_ASSERT(decision.kind != decision_kind::start);
        if (decision.answer == given)
        {
            RC_ASSERT(!accepted_);
            accepted_ = true;
            body_ = body;
            answer_ = given;
        }
        check(body, decision);
    }

    void finished(answer_ptr answer)
    {
        RC_ASSERT(running_);
        running_ = false;
        answer_ = std::move(answer);
    }

    /// Checks the decision for a caller that fetches the answer.
    void check_fetch(admission_decision const& decision)
    {
        RC_ASSERT(decision.kind != decision_kind::start);
        check(body_, decision);
    }

private:
    void check_start(unsigned body)
    {
        RC_ASSERT(!accepted_);
        RC_ASSERT(!reported_not_run_);
        RC_ASSERT(!reported_expired_);
        accepted_ = true;
        running_ = true;
        body_ = body;
    }

    void check_answer(kept_answer const& answer)
    {
        RC_ASSERT(!reported_expired_);
        RC_ASSERT(answer_ != nullptr);
        RC_ASSERT(answer.code == answer_->code);
        RC_ASSERT(answer.ran == answer_->ran);
        RC_ASSERT(answer.body == answer_->body);
        reported_not_run_ =
            reported_not_run_ || answer.ran == ran_state::not_run;
    }

    void check_refusal(unsigned body, admission_decision const& decision)
    {
        bool const not_run = decision.ran == ran_state::not_run;
        if (not_run)
        {
            RC_ASSERT(!running_);
            bool const ran = answer_ && answer_->ran != ran_state::not_run;
            RC_ASSERT_FALSE(ran);
            reported_not_run_ = true;
        }
        bool const forgotten = decision.code == result_code::id_expired ||
                               decision.code == result_code::outcome_unknown;
        if (decision.code == result_code::id_expired && !not_run)
            reported_expired_ = true;
        else if (accepted_ && !forgotten && !reported_expired_)
        {
            RC_ASSERT(decision.code == result_code::id_reused);
            RC_ASSERT(body != body_);
        }
    }

    submission_id id_;
    bool accepted_ = false;
    bool running_ = false;
    bool reported_not_run_ = false;
    bool reported_expired_ = false;
    unsigned body_ = 0;
    answer_ptr answer_;
};

} // namespace masticshift::homes::testing

#endif
