#ifndef MASTICSHIFT_HISTORY_CALL_INDEX_HPP
#define MASTICSHIFT_HISTORY_CALL_INDEX_HPP

#include "typed_record.hpp"

#include <map>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace masticshift::history
{

/// The events that a caller recorded of one call. Each of them may be absent.
struct call_trace
{
    typed_record<call_sent> sent;
    typed_record<call_answered> answered;
    typed_record<call_broken> broken;
};

/// The source that recorded the call and the number of the call there.
using call_key = std::pair<std::string_view, std::uint64_t>;
using call_index = std::map<call_key, call_trace>;

call_index calls_of(recorded_history const& history);

/// Properties of the submission under an id, combined over all its calls.
struct submission
{
    call_kind kind = call_kind::job;
    /// Whether all calls declared the submission idempotent.
    bool idempotent = true;
};

using submission_index = std::unordered_map<std::string_view, submission>;

submission_index submissions_of(recorded_history const& history);

} // namespace masticshift::history

#endif
