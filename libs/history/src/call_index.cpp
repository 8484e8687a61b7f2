#include "call_index.hpp"

namespace masticshift::history
{

call_index calls_of(recorded_history const& history)
{
    call_index calls;
    for (auto const& sent : collect<call_sent>(history))
        calls[{sent.at->source, sent.what->call}].sent = sent;
    for (auto const& answered : collect<call_answered>(history))
        calls[{answered.at->source, answered.what->call}].answered = answered;
    for (auto const& broken : collect<call_broken>(history))
        calls[{broken.at->source, broken.what->call}].broken = broken;
    return calls;
}

submission_index submissions_of(recorded_history const& history)
{
    submission_index submissions;
    for (auto const& sent : collect<call_sent>(history))
    {
        auto& known = submissions[sent.what->id];
        known.kind = sent.what->kind;
        known.idempotent = known.idempotent && sent.what->idempotent;
    }
    return submissions;
}

} // namespace masticshift::history
