#include "call_index.hpp"

namespace masticshift::history
{

call_index calls_of(recorded_history const& history)
{
    call_index calls;
    for (auto const& sent : collect<call_sent>(history))
        calls[{sent.origin->source, sent.content->call}].sent = sent;
    for (auto const& answered : collect<call_answered>(history))
        calls[{answered.origin->source, answered.content->call}].answered =
            answered;
    for (auto const& broken : collect<call_broken>(history))
        calls[{broken.origin->source, broken.content->call}].broken = broken;
    return calls;
}

submission_index submissions_of(recorded_history const& history)
{
    submission_index submissions;
    for (auto const& sent : collect<call_sent>(history))
    {
        auto& known = submissions[sent.content->id];
        known.kind = sent.content->kind;
        known.idempotent = known.idempotent && sent.content->idempotent;
    }
    return submissions;
}

} // namespace masticshift::history
