#include "submit_step.hpp"

namespace masticshift::cli
{

namespace
{

/// Refusals that may not recur at another entry or at a later time.
bool is_temporary_refusal(result_code code)
{
    return code == result_code::overloaded || code == result_code::draining ||
           code == result_code::not_ready ||
           code == result_code::too_many_connections ||
           code == result_code::endpoint_refused;
}

bool is_home_unavailable(result_code code)
{
    return code == result_code::outcome_unknown ||
           code == result_code::home_unreachable;
}

} // namespace

submit_step next_step(call_outcome const& last, bool sent_before)
{
    if (last.end != call_end::answered)
        return submit_step::resubmit;
    if (last.code == result_code::ok)
        return submit_step::finish;
    if (last.ran == ran_state::not_run)
    {
        return is_temporary_refusal(last.code) || is_home_unavailable(last.code)
                   ? submit_step::renew_id
                   : submit_step::finish;
    }
    if (last.ran == ran_state::unknown && is_home_unavailable(last.code))
    {
        // With `outcome_unknown` this call itself may have been forwarded to
        // the home and have started tasks there.
        return sent_before || last.code == result_code::outcome_unknown
                   ? submit_step::resubmit
                   : submit_step::renew_id;
    }
    return submit_step::finish;
}

} // namespace masticshift::cli
