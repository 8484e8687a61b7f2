#include "submit_step.hpp"

#include <doctest/doctest.h>

using namespace masticshift;
using namespace masticshift::cli;

namespace
{

submit_step step_after(result_code code, ran_state ran, bool sent_before)
{
    return next_step({call_end::answered, code, ran}, sent_before);
}

} // namespace

TEST_CASE("an id without an answer is submitted again")
{
    for (bool const sent_before : {false, true})
    {
        CHECK(next_step({call_end::no_answer}, sent_before) ==
              submit_step::resubmit);
        CHECK(next_step({call_end::not_sent}, sent_before) ==
              submit_step::resubmit);
    }
}

TEST_CASE(
    "an unreachable home allows a new id only if the id was never sent before")
{
    using enum result_code;
    auto const unknown = ran_state::unknown;
    CHECK(step_after(home_unreachable, unknown, false) ==
          submit_step::renew_id);
    CHECK(step_after(home_unreachable, unknown, true) == submit_step::resubmit);
    CHECK(step_after(home_unreachable, ran_state::ran, false) ==
          submit_step::finish);
}

TEST_CASE("an unknown outcome never leads to a new id")
{
    using enum result_code;
    for (bool const sent_before : {false, true})
    {
        CHECK(step_after(outcome_unknown, ran_state::unknown, sent_before) ==
              submit_step::resubmit);
        CHECK(step_after(outcome_unknown, ran_state::ran, sent_before) ==
              submit_step::finish);
    }
}

TEST_CASE("there is no new id when tasks may have run")
{
    for (auto const& row : result_codes())
    {
        for (bool const sent_before : {false, true})
        {
            CHECK(step_after(row.code, ran_state::ran, sent_before) ==
                  submit_step::finish);
        }
        CHECK(step_after(row.code, ran_state::unknown, true) !=
              submit_step::renew_id);
    }
}

TEST_CASE("only a temporary refusal is retried")
{
    CHECK(step_after(result_code::draining, ran_state::not_run, true) ==
          submit_step::renew_id);
    CHECK(step_after(result_code::overloaded, ran_state::not_run, false) ==
          submit_step::renew_id);
    CHECK(step_after(result_code::unknown_service, ran_state::not_run, false) ==
          submit_step::finish);
    CHECK(step_after(result_code::id_reused, ran_state::not_run, false) ==
          submit_step::finish);
}
